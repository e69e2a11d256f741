/**
 * Jobs made of steps, and the decisions about where and when their tasks run. No I/O: the
 * root holds what a driver meets, {@code impl} the decisions themselves.
 */
package org.almondmount.workflow;
