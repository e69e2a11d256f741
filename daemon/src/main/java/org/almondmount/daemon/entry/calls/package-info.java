/**
 * The shell round the request decisions: callers, targets and the table's claims of keys.
 */
package org.almondmount.daemon.entry.calls;
