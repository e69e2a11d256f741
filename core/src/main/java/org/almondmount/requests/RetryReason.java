package org.almondmount.requests;

import java.util.Locale;

/**
 * Every reason for which an attempt is made again elsewhere; each has a counter.
 */
public enum RetryReason {

	/** The target said that it did not start it. */
	NOT_STARTED,

	/** Nothing was sent. */
	NOT_SENT,

	/** The connection was lost; the request is idempotent. */
	TARGET_LOST,

	/** The target's instance broke off; the request is idempotent. */
	BROKEN,

	/** The instance answered with an error; the request is idempotent. */
	ERROR_ANSWER,

	/** The attempt was slow and the request is idempotent. */
	SLOW;

	/**
	 * The reason as it stands in logs and counters.
	 * @return the word
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
