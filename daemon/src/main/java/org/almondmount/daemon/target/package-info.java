/**
 * The target daemon: a thin shell of threads and connections round the slot gate and the
 * member keeper.
 * <p>
 * One duty makes all decisions and owns all state; I/O threads and clients only hand it
 * signals.
 */
package org.almondmount.daemon.target;
