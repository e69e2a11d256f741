/**
 * The process beside a worker.
 */
package org.almondmount.fleet.target;
