/**
 * Decides from failed and successful starts whether a worker is faulty. No I/O and no
 * clock: the caller passes the time.
 */
package org.almondmount.workflow.health;
