package org.almondmount.workflow.impl;

import org.almondmount.workflow.FleetConfiguration;

/**
 * Keeps the declarations of the queues of active jobs, so that jobs outlive their queues.
 * Owned by the scheduler.
 * <p>
 * Only the newest configuration can be read from the store. Once it lacks a queue, the
 * stored rows of a job are the only source of the pool, priority and attempts of that
 * queue. A job is stored with the declaration under which it was accepted; a later
 * declaration of different content is stored with its progress.
 */
final class QueueDeclarations {

	private final SchedulerState state;

	QueueDeclarations(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Adopts the declarations of the configuration in force.
	 * @param previous the configuration that was in force before
	 */
	void onConfigurationChanged(FleetConfiguration previous) {
		for (JobState job : this.state.jobs().values()) {
			if (!job.over()) {
				adopt(job, previous);
			}
		}
	}

	/**
	 * Adopts the declaration in force for a job that has just become known.
	 * @param job the job
	 */
	void onJobKnown(JobState job) {
		if (!job.over()) {
			adopt(job, this.state.configuration());
		}
	}

	private void adopt(JobState job, FleetConfiguration previous) {
		boolean replaced = job.adoptDeclaration(this.state.configuration());
		if (replaced || isOnlyKnownHere(job, previous)) {
			this.state.writeAheadBuffer().markChanged(job);
		}
	}

	// Versions that stored no declarations may have accepted the job.
	private boolean isOnlyKnownHere(JobState job, FleetConfiguration previous) {
		String queue = job.workflow().queue();
		return job.workflow().declaration().isEmpty() && previous.queue(queue).isPresent()
				&& this.state.configuration().queue(queue).isEmpty();
	}

}
