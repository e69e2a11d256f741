package org.almondmount.fleet;

import java.time.Duration;

import org.almondmount.intake.IntakeRefusal;

/**
 * What became of a job that was handed in.
 */
public sealed interface Submission {

	/** It is kept and will run. */
	record Accepted() implements Submission {
	}

	/**
	 * It was not kept and never will be.
	 *
	 * @param reason the reason
	 * @param retryAfter when its caller may come back
	 */
	record Refused(IntakeRefusal reason, Duration retryAfter) implements Submission {
	}

	/**
	 * Nobody can tell yet; handing the same job in again settles it.
	 *
	 * @param retryAfter when its caller may come back
	 */
	record Unsettled(Duration retryAfter) implements Submission {
	}

}
