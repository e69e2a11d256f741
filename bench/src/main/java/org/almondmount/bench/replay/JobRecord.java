package org.almondmount.bench.replay;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.bench.workload.PlannedJob;
import org.almondmount.jobs.JobOutcome;

/**
 * What became of one job. Mutable while the replay runs, then read only.
 */
public final class JobRecord {

	private final PlannedJob planned;

	private final List<AttemptRecord> attempts = new ArrayList<>();

	private boolean refused;

	private JobOutcome ending;

	private long endedAt = AttemptRecord.UNSET;

	public JobRecord(PlannedJob planned) {
		this.planned = planned;
	}

	public PlannedJob planned() {
		return this.planned;
	}

	/**
	 * Every committed attempt, oldest first.
	 * @return the attempts
	 */
	public List<AttemptRecord> attempts() {
		return this.attempts;
	}

	/**
	 * Whether it was refused on submission.
	 * @return true if it was
	 */
	public boolean refused() {
		return this.refused;
	}

	/**
	 * The final ending, null while there is none.
	 * @return the ending or null
	 */
	public JobOutcome ending() {
		return this.ending;
	}

	/**
	 * When it had its final ending or its refusal.
	 * @return virtual milliseconds or unset
	 */
	public long endedAt() {
		return this.endedAt;
	}

	/**
	 * When its gang first ran whole.
	 * @return virtual milliseconds or unset
	 */
	public long firstWholeAt() {
		for (AttemptRecord attempt : this.attempts) {
			if (attempt.wholeAt() != AttemptRecord.UNSET) {
				return attempt.wholeAt();
			}
		}
		return AttemptRecord.UNSET;
	}

	public void refuse(long at) {
		this.refused = true;
		this.endedAt = at;
	}

	public void end(long at, JobOutcome how) {
		this.ending = how;
		this.endedAt = at;
		for (AttemptRecord attempt : this.attempts) {
			attempt.over(at);
		}
	}

}
