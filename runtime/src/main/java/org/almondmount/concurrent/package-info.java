/**
 * Single threads that process the elements of a bounded queue.
 */
package org.almondmount.concurrent;
