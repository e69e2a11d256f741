/**
 * Rows that last: the interface through which the workflow programs keep what has to
 * survive them. Installations bring the implementation.
 */
package org.almondmount.rows;
