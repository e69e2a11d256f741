package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.FleetCustomer;

/**
 * The urgent jobs that are covered by their customers' guarantees. Immutable; created for
 * each placement round.
 * <p>
 * A customer's urgent jobs are covered in the order of their arrival, as long as the
 * accelerators of all covered jobs together stay within the guarantee.
 */
final class GuaranteedJobs {

	/** Covers no job. */
	static final GuaranteedJobs NONE = new GuaranteedJobs(Set.of());

	private final Set<String> jobs;

	private GuaranteedJobs(Set<String> jobs) {
		this.jobs = jobs;
	}

	static GuaranteedJobs of(SchedulerState state) {
		Map<String, Long> acceleratorsByCustomer = new HashMap<>();
		Set<String> jobs = new HashSet<>();
		for (JobState job : state.jobs().values()) {
			boolean urgent = state.queueOf(job).map((queue) -> queue.urgent()).orElse(false);
			Optional<FleetCustomer> customer = state.configuration().customer(job.workflow().customer());
			if (job.over() || !urgent || customer.isEmpty()) {
				continue;
			}
			long sum = acceleratorsByCustomer.getOrDefault(customer.get().name(), 0L) + accelerators(job);
			if (sum <= customer.get().guaranteedAccelerators()) {
				acceleratorsByCustomer.put(customer.get().name(), sum);
				jobs.add(job.id());
			}
		}
		return new GuaranteedJobs(jobs);
	}

	boolean contains(JobState job) {
		return this.jobs.contains(job.id());
	}

	private static long accelerators(JobState job) {
		long sum = 0;
		for (StepState step : job.steps()) {
			if (!step.done()) {
				sum += step.spec().demand().accelerators() * step.spec().taskCount();
			}
		}
		return sum;
	}

}
