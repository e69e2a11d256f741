/**
 * The entry and the target, the processes that run workflows, as libraries. The root
 * package holds the interfaces to the adapter of a platform; {@code entry}, {@code
 * target} and {@code codec} hold the implementation.
 */
package org.almondmount.fleet;
