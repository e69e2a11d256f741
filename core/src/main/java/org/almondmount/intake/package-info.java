/**
 * Decisions about jobs that cannot be stored at the moment: how long each waits for the
 * store, in which order they proceed, when a caller is refused and when it may retry. No
 * I/O.
 */
package org.almondmount.intake;
