package org.almondmount.model;

import java.time.Duration;

/**
 * A refusal as the caller gets it.
 *
 * @param reason the kind
 * @param runState what the caller can rely on
 * @param detail what was found, in one sentence
 * @param retryAfter when to come back; zero where waiting does not help
 */
public record Refusal(RefusalReason reason, RunState runState, String detail, Duration retryAfter) {

	public Refusal {
		if (retryAfter.isNegative()) {
			throw new InvalidValueException("retryAfter", "is negative; give zero where waiting does not help");
		}
	}

	/**
	 * A refusal of something that did not run and never will.
	 * @param reason the kind
	 * @param detail what was found
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalReason reason, String detail) {
		return new Refusal(reason, RunState.NOT_RUN, detail, Duration.ZERO);
	}

	/**
	 * A refusal of something that may have run.
	 * @param reason the kind
	 * @param detail what was found
	 * @return the refusal
	 */
	public static Refusal mayHaveRun(RefusalReason reason, String detail) {
		return new Refusal(reason, RunState.MAY_HAVE_RUN, detail, Duration.ZERO);
	}

	public Refusal withRetryAfter(Duration time) {
		return new Refusal(this.reason, this.runState, this.detail, time);
	}

	/**
	 * The sentence for people: what was found and the remedy.
	 * @return one sentence
	 */
	public String message() {
		return this.detail + "; " + this.reason.remedy();
	}

}
