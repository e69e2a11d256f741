/**
 * A complete installation under a simulated clock: the real entries and targets with
 * simulated store, network and workers into which faults are injected.
 */
package org.almondmount.fleet.sim;
