package org.almondmount.workflow.impl;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Logs which queues have left the configuration before their jobs ended, and which of
 * them are declared again. Mutable; owned by the scheduler.
 */
final class OutlivedQueues {

	/** Limit of queues that one log line names. */
	private static final int MAX_LOGGED_QUEUES = 8;

	private final SchedulerState state;

	private Set<String> outlived = Set.of();

	OutlivedQueues(SchedulerState state) {
		this.state = state;
	}

	void clear() {
		this.outlived = Set.of();
	}

	/**
	 * Compares the queues of the active jobs with the configuration. While no
	 * configuration is known, no queue counts as removed.
	 */
	void update() {
		if (this.state.configuration().revision() == 0) {
			return;
		}
		TreeMap<String, Integer> jobsByQueue = new TreeMap<>();
		int withoutDeclaration = 0;
		for (JobState job : this.state.jobs().values()) {
			String queue = job.workflow().queue();
			if (!job.over() && this.state.configuration().queue(queue).isEmpty()) {
				jobsByQueue.merge(queue, 1, Integer::sum);
				withoutDeclaration += job.declaration().isEmpty() ? 1 : 0;
			}
		}
		logDeclaredAgain();
		if (!jobsByQueue.isEmpty() && !jobsByQueue.keySet().equals(this.outlived)) {
			this.state.explain("jobs-outlive-queues", "revision", this.state.configuration().revision(), "queues",
					shortened(jobsByQueue.keySet()), "queueCount", jobsByQueue.size(), "jobs",
					jobsByQueue.values().stream().mapToInt(Integer::intValue).sum(), "withoutDeclaration",
					withoutDeclaration);
		}
		this.outlived = new TreeSet<>(jobsByQueue.keySet());
	}

	private void logDeclaredAgain() {
		List<String> restored = this.outlived.stream()
			.filter((queue) -> this.state.configuration().queue(queue).isPresent())
			.toList();
		if (!restored.isEmpty()) {
			this.state.explain("queues-declared-again", "revision", this.state.configuration().revision(), "queues",
					shortened(restored), "queueCount", restored.size());
		}
	}

	private static List<String> shortened(Collection<String> queues) {
		return queues.stream().limit(MAX_LOGGED_QUEUES).toList();
	}

}
