/**
 * Decisions about callers: how long a job waits for a store that does not accept it, in
 * which order jobs proceed, when a caller is refused and when it may retry, and which
 * connections are slowed down or closed when callers need more than a process can give.
 * No I/O.
 */
package org.almondmount.intake;
