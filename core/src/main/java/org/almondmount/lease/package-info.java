/**
 * Decides which entry holds the scheduler's lease, under which epoch, and until when the
 * holder may act. No I/O.
 */
package org.almondmount.lease;
