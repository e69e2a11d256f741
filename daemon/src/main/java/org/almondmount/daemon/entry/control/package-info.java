/**
 * The shell round the lease, the configuration and the job decisions.
 */
package org.almondmount.daemon.entry.control;
