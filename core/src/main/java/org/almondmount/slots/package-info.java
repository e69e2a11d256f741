/**
 * Decisions about requests at a target: slots lent to entries, at most one run of each
 * attempt, tombstones for cancelled attempts, and draining. No I/O.
 */
package org.almondmount.slots;
