/**
 * Manages gang members on a worker: holds, starts, the gang lease, and the fencing of old
 * attempts and epochs; and tracks on an entry which gangs are fully running. No I/O.
 */
package org.almondmount.gang;
