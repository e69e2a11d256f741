/**
 * Decisions about jobs that can't be kept at the moment: how long each waits for the
 * store, in which order they go on, when a caller is refused and when it may come back.
 * No I/O.
 */
package org.almondmount.intake;
