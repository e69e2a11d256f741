package org.almondmount.workflow;

/**
 * A queue that takes jobs, as operators declare it. Immutable.
 *
 * @param name its name
 * @param host the host name under which callers reach it
 * @param pathPrefix the path under which callers reach it
 * @param pool the workers that run its tasks
 * @param priority 0 comes first and may preempt others
 * @param maxAttempts failed runs of a task, or of a gang, after which the job fails
 * @param criticalPathFactor how many times its longest chain of work a job may take
 * @param latencyAllowanceMillis what is added to that objective
 * @param anonymousAllowed whether callers need no key
 * @param adviceRequired whether only the advice service knows which workers may run a
 * step
 */
public record JobQueue(String name, String host, String pathPrefix, String pool, int priority, int maxAttempts,
		double criticalPathFactor, long latencyAllowanceMillis, boolean anonymousAllowed, boolean adviceRequired) {

	private static final int URGENT_PRIORITY = 0;

	/**
	 * Whether its jobs come before those of other queues and may take their place.
	 * @return whether they do
	 */
	public boolean urgent() {
		return this.priority == URGENT_PRIORITY;
	}

}
