package org.almondmount.requests;

import java.util.Locale;

/**
 * Reasons for retrying a request on another target; each has its own counter.
 */
public enum RetryReason {

	/** The target reported that it did not start the attempt. */
	NOT_STARTED,

	/** The attempt was not sent. */
	NOT_SENT,

	/** The connection was lost; the request is idempotent. */
	TARGET_LOST,

	/** The target's instance returned no complete answer; the request is idempotent. */
	BROKEN,

	/** The instance answered with an error; the request is idempotent. */
	ERROR_ANSWER,

	/** The attempt was slow; the request is idempotent. */
	SLOW;

	/**
	 * The name used in logs and counters.
	 * @return the name
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
