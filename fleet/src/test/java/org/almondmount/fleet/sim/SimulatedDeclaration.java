package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

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

	static final String HOST = "host";

	/** The first names of the queues by the numbers of their paths. */
	static final Map<Integer, String> FIRST_QUEUE_NAMES = Map.of(0, "q0", 1, "q1", 2, "q2");

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
	 * Returns the value of the first configuration row, which declares all queues.
	 * @return its revision and its name
	 */
	String row() {
		return "1 " + name();
	}

	/**
	 * Returns the value of a later configuration row.
	 * @param revision its revision
	 * @param queueNames the names of the declared queues by the number of their path
	 * @return the value
	 */
	String row(long revision, Map<Integer, String> queueNames) {
		String queues = queueNames.entrySet()
			.stream()
			.map((queue) -> queue.getKey() + "=" + queue.getValue())
			.collect(Collectors.joining(","));
		return revision + " " + name() + " queues:" + queues;
	}

	/**
	 * Returns the path that callers of a queue use, whatever the queue is called by now.
	 * @param number the number of the path, which is also the priority of its queue
	 * @return the path prefix
	 */
	static String path(int number) {
		return "/q" + number + "/";
	}

	/**
	 * Reads a configuration row.
	 * @param row the value of the row: a revision, a name unless it is {@link #MODERATE},
	 * and the declared queues unless these are all under their first names
	 * @return the configuration
	 */
	static FleetConfiguration read(String row) {
		String[] words = row.split(" ");
		SimulatedDeclaration declaration = (words.length > 1) ? valueOf(words[1]) : MODERATE;
		return declaration.configuration(Long.parseLong(words[0]), readQueueNames(words));
	}

	private static Map<Integer, String> readQueueNames(String[] words) {
		if (words.length <= 2) {
			return new TreeMap<>(FIRST_QUEUE_NAMES);
		}
		Map<Integer, String> names = new TreeMap<>();
		for (String queue : words[2].substring(words[2].indexOf(':') + 1).split(",")) {
			int separator = queue.indexOf('=');
			if (separator > 0) {
				names.put(Integer.parseInt(queue.substring(0, separator)), queue.substring(separator + 1));
			}
		}
		return names;
	}

	private FleetConfiguration configuration(long revision, Map<Integer, String> queueNames) {
		List<JobQueue> queues = new ArrayList<>();
		queueNames.forEach((priority, name) -> {
			double factor = (priority == 0) ? this.urgentCriticalPathFactor : USUAL_CRITICAL_PATH_FACTOR;
			queues.add(new JobQueue(name, HOST, path(priority), "pool", priority, this.maxAttempts, factor, 1_000,
					false, false));
		});
		return new FleetConfiguration(revision, queues, List.of("pool"),
				List.of(new FleetCustomer("one", Set.of("k1"), this.firstGuarantee),
						new FleetCustomer("two", Set.of("k2"), this.secondGuarantee)));
	}

}
