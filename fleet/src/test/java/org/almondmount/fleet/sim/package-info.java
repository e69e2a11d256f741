/**
 * A whole installation under a virtual clock: the real entries and targets, and small
 * stand-ins of store, network and workers that misbehave on purpose.
 */
package org.almondmount.fleet.sim;
