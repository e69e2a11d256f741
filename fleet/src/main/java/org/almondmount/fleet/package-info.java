/**
 * The programs that run workflows: the entry and the target as libraries. The root holds
 * what an adapter of a platform meets; {@code entry}, {@code target} and {@code codec}
 * hold how it is done.
 */
package org.almondmount.fleet;
