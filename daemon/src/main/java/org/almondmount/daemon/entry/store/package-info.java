/**
 * Rows of the platform's table as an entry reads and writes them, and the batching of
 * writes.
 */
package org.almondmount.daemon.entry.store;
