/**
 * A complete installation in one process, held in memory, that executes each component
 * once during the build. A JVM that starts with a class archive of the classes used here
 * is ready sooner.
 */
package org.almondmount.fleet.rehearsal;
