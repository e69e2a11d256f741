package org.almondmount.workflow;

/**
 * A job queue as declared by operators. Immutable.
 * <p>
 * The objective for the time in which a job completes is {@code criticalPathFactor} times
 * the length of its critical path plus {@code latencyAllowanceMillis}.
 *
 * @param name the name of the queue
 * @param host the host name at which callers reach the queue
 * @param pathPrefix the path prefix at which callers reach the queue
 * @param pool the pool of workers that run its tasks
 * @param priority the priority; 0 is the highest and may preempt the others
 * @param maxAttempts the number of failed runs of a task or a gang after which the job
 * fails
 * @param criticalPathFactor the factor of the critical path in the objective
 * @param latencyAllowanceMillis the constant part of the objective
 * @param anonymousAllowed whether callers may omit the API key
 * @param adviceRequired whether only the advice service knows which workers may run a
 * step, so that it has to be asked
 */
public record JobQueue(String name, String host, String pathPrefix, String pool, int priority, int maxAttempts,
		double criticalPathFactor, long latencyAllowanceMillis, boolean anonymousAllowed, boolean adviceRequired) {

	private static final int URGENT_PRIORITY = 0;

	/** Multiple of the critical path below which an objective is tight. */
	private static final double TIGHT_CRITICAL_PATH_FACTOR = 2;

	/** Attempts that leave one to spare after a failure and a retry. */
	private static final int MIN_SPARE_ATTEMPTS = 3;

	/**
	 * Returns whether the jobs of this queue are placed before those of other queues and
	 * may preempt them.
	 * @return whether the queue has the urgent priority
	 */
	public boolean urgent() {
		return this.priority == URGENT_PRIORITY;
	}

	/**
	 * Returns whether the objective of long jobs is tight.
	 * @return whether {@link #isTightFor} holds for any job
	 */
	public boolean hasTightObjective() {
		return this.criticalPathFactor < TIGHT_CRITICAL_PATH_FACTOR;
	}

	/**
	 * Returns whether the objective of a job is less than twice its run time, so that a
	 * second run after a failure makes it late.
	 * @param criticalPathMillis the length of its critical path, in milliseconds
	 * @return whether the objective is tight
	 */
	public boolean isTightFor(long criticalPathMillis) {
		return this.criticalPathFactor * criticalPathMillis + this.latencyAllowanceMillis < TIGHT_CRITICAL_PATH_FACTOR
				* criticalPathMillis;
	}

	/**
	 * Returns whether a job has an attempt left after a failure and a failed retry.
	 * @return whether attempts may be spread over different workers
	 */
	public boolean hasSpareAttempts() {
		return this.maxAttempts >= MIN_SPARE_ATTEMPTS;
	}

}
