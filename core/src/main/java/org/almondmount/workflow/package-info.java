/**
 * Jobs that consist of steps, and the scheduling of their tasks. Performs no I/O: this
 * package contains the interface for the driver, and {@code impl} the implementation.
 */
package org.almondmount.workflow;
