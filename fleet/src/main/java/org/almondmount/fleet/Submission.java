package org.almondmount.fleet;

import java.time.Duration;

import org.almondmount.intake.IntakeRefusal;

/**
 * Outcome of the submission of a job.
 */
public sealed interface Submission {

	/** The job is stored and will run. */
	record Accepted() implements Submission {
	}

	/**
	 * The job is not stored and never will be.
	 *
	 * @param reason the reason
	 * @param retryAfter when the caller may retry
	 */
	record Refused(IntakeRefusal reason, Duration retryAfter) implements Submission {
	}

	/**
	 * The outcome is unknown; submitting the same job again resolves it.
	 *
	 * @param retryAfter when the caller may retry
	 */
	record Unsettled(Duration retryAfter) implements Submission {
	}

}
