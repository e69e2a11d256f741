package org.almondmount.bench.measure;

import org.almondmount.bench.replay.AttemptRecord;
import org.almondmount.bench.replay.JobRecord;
import org.almondmount.bench.replay.ReplayRecord;
import org.almondmount.jobs.JobOutcome;

/**
 * Counts of what became of jobs and gangs.
 */
final class Outcomes {

	private Outcomes() {
	}

	// Jobs that were possible and not cancelled, yet refused.
	static int refused(ReplayRecord record) {
		int count = 0;
		for (JobRecord job : record.jobs()) {
			count += (job.refused() && job.planned().completes()) ? 1 : 0;
		}
		return count;
	}

	// Jobs that would have succeeded and did not, without those that may not be repeated
	// and were lost while they ran.
	static int unfinished(ReplayRecord record) {
		int count = 0;
		for (JobRecord job : record.jobs()) {
			boolean lost = !job.planned().spec().repeatable() && job.ending() == JobOutcome.UNKNOWN;
			if (job.planned().completes() && !job.refused() && !lost && job.ending() != JobOutcome.SUCCEEDED) {
				count++;
			}
		}
		return count;
	}

	// The longest time, in milliseconds, from the release of a gang's first member to
	// that of its last, over attempts that were whole.
	static long longestPartial(ReplayRecord record) {
		long longest = 0;
		for (JobRecord job : record.jobs()) {
			for (AttemptRecord attempt : job.attempts()) {
				if (attempt.wholeAt() != AttemptRecord.UNSET) {
					longest = Math.max(longest, partial(attempt, record.endMillis()));
				}
			}
		}
		return longest;
	}

	// Attempts that ran whole beyond the first of their job, over jobs that succeeded.
	static double interruptions(ReplayRecord record) {
		int interrupted = 0;
		int finished = 0;
		for (JobRecord job : record.jobs()) {
			if (job.ending() != JobOutcome.SUCCEEDED) {
				continue;
			}
			finished++;
			int whole = 0;
			for (AttemptRecord attempt : job.attempts()) {
				whole += (attempt.wholeAt() != AttemptRecord.UNSET) ? 1 : 0;
			}
			interrupted += Math.max(0, whole - 1);
		}
		return (finished != 0) ? (double) interrupted / finished : 0;
	}

	private static long partial(AttemptRecord attempt, long endMillis) {
		long first = Long.MAX_VALUE;
		long last = 0;
		for (int i = 0; i < attempt.placement().size(); i++) {
			long released = (attempt.releasedAt(i) != AttemptRecord.UNSET) ? attempt.releasedAt(i) : endMillis;
			first = Math.min(first, released);
			last = Math.max(last, released);
		}
		return last - first;
	}

}
