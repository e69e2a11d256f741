/**
 * The threads for network I/O.
 */
package org.almondmount.net;
