/**
 * A whole installation in one process and in memory, to run each part once in a build: a
 * JVM that starts from the archive of the classes used here is ready sooner.
 */
package org.almondmount.fleet.rehearsal;
