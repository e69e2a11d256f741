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
	 * @param why the reason
	 * @param comeBackAfter when its caller may come back
	 */
	record Refused(IntakeRefusal why, Duration comeBackAfter) implements Submission {
	}

	/**
	 * Nobody can tell yet; handing the same job in again settles it.
	 *
	 * @param comeBackAfter when its caller may come back
	 */
	record Unsettled(Duration comeBackAfter) implements Submission {
	}

}
