/**
 * Who may decide, and what it keeps: terms of one holder, under epochs that grow. No I/O.
 */
package org.almondmount.term;
