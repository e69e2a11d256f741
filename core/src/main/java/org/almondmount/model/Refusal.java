package org.almondmount.model;

import java.time.Duration;

/**
 * A refusal as returned to the caller.
 *
 * @param reason the reason
 * @param runState whether the refused work may have run
 * @param detail the details, in one sentence
 * @param retryAfter the time after which to retry; zero if waiting does not help
 */
public record Refusal(RefusalReason reason, RunState runState, String detail, Duration retryAfter) {

	public Refusal {
		if (retryAfter.isNegative()) {
			throw new InvalidValueException("retryAfter", "is negative; give zero if waiting does not help");
		}
	}

	/**
	 * Creates a refusal of work that did not run and never will.
	 * @param reason the reason
	 * @param detail the details
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalReason reason, String detail) {
		return new Refusal(reason, RunState.NOT_RUN, detail, Duration.ZERO);
	}

	/**
	 * Creates a refusal of work that may have run.
	 * @param reason the reason
	 * @param detail the details
	 * @return the refusal
	 */
	public static Refusal mayHaveRun(RefusalReason reason, String detail) {
		return new Refusal(reason, RunState.MAY_HAVE_RUN, detail, Duration.ZERO);
	}

	public Refusal withRetryAfter(Duration time) {
		return new Refusal(this.reason, this.runState, this.detail, time);
	}

	/**
	 * The message for people: the details and the remedy.
	 * @return one sentence
	 */
	public String message() {
		return this.detail + "; " + this.reason.remedy();
	}

}
