/**
 * Implementation of the slot gate: the slots lent to entries and the history of attempts.
 * No class of this package is thread-safe.
 */
package org.almondmount.slots.impl;
