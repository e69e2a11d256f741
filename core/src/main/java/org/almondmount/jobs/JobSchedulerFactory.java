package org.almondmount.jobs;

import org.almondmount.jobs.impl.DefaultJobScheduler;

/**
 * Creates job schedulers. The factory is thread-safe, the created schedulers are not.
 */
public final class JobSchedulerFactory {

	private JobSchedulerFactory() {
	}

	/**
	 * Creates a scheduler without workers or jobs and with an empty configuration.
	 * @param policy the policy of the scheduler
	 * @return the scheduler
	 */
	public static JobScheduler create(JobPolicy policy) {
		return new DefaultJobScheduler(policy);
	}

	/**
	 * Creates a scheduler with the default policy.
	 * @return the scheduler
	 */
	public static JobScheduler create() {
		return create(JobPolicy.DEFAULT);
	}

}
