/**
 * The entry: terms, the scheduler's driver, callers' requests and peers.
 */
package org.almondmount.fleet.entry;
