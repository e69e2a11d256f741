/**
 * Decides how customers share a fleet for which more work waits than it holds: what each
 * uses of its entitlement, whose work goes first, and for whom room is reserved. No I/O.
 */
package org.almondmount.workflow.sharing;
