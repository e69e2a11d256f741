/**
 * Which runs are preempted for work that does not fit, and what that costs their callers.
 * Pure decisions over plain records; the scheduler translates its state into them.
 */
package org.almondmount.workflow.preemption;
