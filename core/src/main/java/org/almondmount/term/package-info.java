/**
 * Terms of one holder at a time, under increasing epochs: decides which entry is the
 * holder and what it stores. No I/O.
 */
package org.almondmount.term;
