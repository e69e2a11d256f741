package org.almondmount.model;

import java.util.Locale;

/**
 * Reasons for refusing work, a call or an intent. This is the single source for counters,
 * problem documents and the operators' page; every reason appears in all three.
 */
public enum RefusalReason {

	/** The document is unreadable or invalid. */
	INVALID(400, "correct the field that the detail names and send it again"),

	/** The token is missing or unknown. */
	UNAUTHENTICATED(401, "send the customer's or the operator's token as a bearer token"),

	/** The token does not permit this. */
	FORBIDDEN(403, "use the token of the customer that owns it, or an operator's"),

	/** The object does not exist or belongs to another customer. */
	NOT_FOUND(404, "check the identifier with a listing"),

	/** The body or a header exceeds its limit. */
	TOO_LARGE(413, "send a smaller body, or raise the limit in the entry's settings"),

	/** The intent was planned against another revision. */
	SUPERSEDED(409, "another change was accepted first: plan again and confirm the new plan"),

	/** The guarantees cannot all be satisfied at the same time. */
	GUARANTEE_DOES_NOT_FIT(409, "ask for the largest shape that the plan names, or add workers"),

	/** The job fits no worker even in an empty fleet. */
	NEVER_FITS(422, "lower the dimension that the detail names"),

	/** The key was used for another request. */
	KEY_REUSED(422, "use a new key for a new request"),

	/** A request with the same key is still running or its outcome is unknown. */
	KEY_IN_USE(409, "wait for the first request's ending; do not repeat the work under another key"),

	/** The customer's queue is full. */
	QUEUE_FULL(429, "come back after the given time, or lower the rate"),

	/** The customer's share of the queue is full while others still have capacity. */
	CUSTOMER_LIMIT(429, "come back after the given time; other customers are not affected"),

	/** The internal queue between duties of the process is full. */
	OVERLOADED(503, "come back after the given time"),

	/** The deadline has passed or cannot be met. */
	DEADLINE(504, "give a later deadline or come back after the given time"),

	/** No target is available that can serve the request. */
	NO_TARGET(503, "see that targets are running in a zone that is in service"),

	/** Every target refused the request or failed before starting it. */
	TARGETS_BUSY(503, "come back after the given time"),

	/** The target was lost after the request had been sent to it. */
	TARGET_LOST(502, "find out whether it ran before sending it again"),

	/** The target did not return a complete answer. */
	BAD_ANSWER(502, "find out whether it ran before sending it again"),

	/** The retry budget is exhausted while targets are failing. */
	RETRY_BUDGET(503, "come back after the given time; targets are failing"),

	/** The process is shutting down. */
	DRAINING(503, "send it again at once: another entry takes it"),

	/** The platform's table service does not answer. */
	STORE_AWAY(503, "come back after the given time; running work goes on"),

	/** The platform's table service did not report whether a write took effect. */
	STORE_UNKNOWN(503, "read the job or plan by its identifier after the given time"),

	/** No entry holds the scheduler's lease. */
	NO_SCHEDULER(503, "come back after the given time"),

	/** The configuration has not been read yet. */
	NO_CONFIGURATION(503, "come back after the given time; the entry is starting"),

	/** The zone is out of service or its last known state is too old. */
	ZONE_OUT(503, "put the zone in service, or wait for work to be placed elsewhere"),

	/** The job was cancelled. */
	CANCELLED(409, "submit it again if it is wanted after all"),

	/** The job failed on several healthy workers. */
	JOB_FAILS(422, "look at the task's own error; the workers are healthy"),

	/**
	 * The caller closed its connection before the answer; the refusal is not delivered.
	 */
	CALLER_GONE(408, "nothing: nobody waits for the answer any more"),

	/** A late copy of work that was abandoned. */
	ABANDONED(409, "nothing: the sender has already been answered"),

	/** An internal fault of almondmount. */
	INTERNAL(500, "report it with the request's identifier and the entry's log");

	private final int status;

	private final String remedy;

	RefusalReason(int status, String remedy) {
		this.status = status;
		this.remedy = remedy;
	}

	/**
	 * The HTTP status that carries this reason.
	 * @return an HTTP status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * The remedy for the caller.
	 * @return a clause that follows the detail
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * The name used in answers, logs and counters, such as {@code queue-full}.
	 * @return the name
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
