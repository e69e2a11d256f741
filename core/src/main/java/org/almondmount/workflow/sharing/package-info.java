/**
 * Decides how customers share a fleet for which more work waits than it holds: what each
 * uses of its entitlement, and whose work goes first. No I/O.
 */
package org.almondmount.workflow.sharing;
