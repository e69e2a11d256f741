/**
 * The entry process: takes calls, routes requests and, while it holds the lease,
 * schedules jobs.
 */
package org.almondmount.daemon.entry;
