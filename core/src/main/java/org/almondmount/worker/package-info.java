/**
 * Manages one worker for the target process beside it: leases, orders, fencing, and
 * reports about the worker. No I/O.
 */
package org.almondmount.worker;
