package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.FleetCustomer;

/**
 * Which urgent jobs belong to their customers' guarantees. Immutable, made anew for each
 * round of placing.
 * <p>
 * A customer's urgent jobs belong to its guarantee in the order of their arrival, as long
 * as the accelerators of all of them together stay within it.
 */
final class GuaranteedJobs {

	/** No job of anybody. */
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
