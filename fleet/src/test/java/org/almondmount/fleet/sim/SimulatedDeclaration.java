package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.JobQueue;

/**
 * What the operators of a simulated installation have declared.
 */
enum SimulatedDeclaration {

	/** Two attempts in each queue, and guarantees of similar size. */
	MODERATE(2, 3, 16, 8),

	/**
	 * Attempts to spare, tight objectives of urgent jobs and guarantees that differ
	 * fourfold. They activate the features for hard load.
	 */
	HARD_LOAD(3, 1.5, 32, 8);

	private static final double USUAL_CRITICAL_PATH_FACTOR = 3;

	private final int maxAttempts;

	private final double urgentCriticalPathFactor;

	private final long firstGuarantee;

	private final long secondGuarantee;

	SimulatedDeclaration(int attempts, double urgentFactor, long first, long second) {
		this.maxAttempts = attempts;
		this.urgentCriticalPathFactor = urgentFactor;
		this.firstGuarantee = first;
		this.secondGuarantee = second;
	}

	int maxAttempts() {
		return this.maxAttempts;
	}

	/**
	 * Returns the value of the configuration row.
	 * @return its first revision and its name
	 */
	String row() {
		return "1 " + name();
	}

	/**
	 * Reads a configuration row.
	 * @param row the value of the row: a revision, and a name unless it is
	 * {@link #MODERATE}
	 * @return the configuration
	 */
	static FleetConfiguration read(String row) {
		String[] words = row.split(" ");
		SimulatedDeclaration declaration = (words.length > 1) ? valueOf(words[1]) : MODERATE;
		return declaration.configuration(Long.parseLong(words[0]));
	}

	private FleetConfiguration configuration(long revision) {
		List<JobQueue> queues = new ArrayList<>();
		for (int priority = 0; priority < 3; priority++) {
			double factor = (priority == 0) ? this.urgentCriticalPathFactor : USUAL_CRITICAL_PATH_FACTOR;
			queues.add(new JobQueue("q" + priority, "host", "/q" + priority + "/", "pool", priority, this.maxAttempts,
					factor, 1_000, false, false));
		}
		return new FleetConfiguration(revision, queues, List.of("pool"),
				List.of(new FleetCustomer("one", Set.of("k1"), this.firstGuarantee),
						new FleetCustomer("two", Set.of("k2"), this.secondGuarantee)));
	}

}
