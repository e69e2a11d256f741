/**
 * The decisions of the process beside a worker: leases, orders, fencing, and what is told
 * of the worker. No I/O.
 */
package org.almondmount.worker;
