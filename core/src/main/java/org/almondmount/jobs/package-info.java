/**
 * Job scheduling: guarantees, gangs, fairness, preemption and zones, as a deterministic
 * state machine without I/O. The entry point is
 * {@link org.almondmount.jobs.JobScheduler}.
 */
package org.almondmount.jobs;
