/**
 * Threads with one duty each, joined by bounded rings.
 */
package org.almondmount.concurrent;
