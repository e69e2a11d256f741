/**
 * The entry: terms, the driver of the scheduler, requests of callers and peers.
 */
package org.almondmount.fleet.entry;
