package org.almondmount.worker;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.workflow.WorkerReport;

/**
 * What crashed with former lives of a worker, for as long as holders are told of it.
 * Mutable; owned by the keeper.
 * <p>
 * A holder that heard of a crash may lose its term before it has kept it, so the next one
 * is told too. Holders count each run once.
 */
final class RecentCrashes {

	/** Longer than it takes until the next holder decides, in milliseconds. */
	private static final long REPORT_PERIOD_MILLIS = 60_000;

	/** Bounds the report of a worker that crashes all the time. */
	private static final int MAX_RUNS = 256;

	private final List<WorkerReport.Crashed> runs = new ArrayList<>();

	private long reportedUntil = Long.MIN_VALUE;

	void add(long now, List<WorkerReport.Crashed> crashed) {
		this.reportedUntil = now + REPORT_PERIOD_MILLIS;
		this.runs.addAll(crashed);
		int excess = this.runs.size() - MAX_RUNS;
		if (excess > 0) {
			this.runs.subList(0, excess).clear();
		}
	}

	List<WorkerReport.Crashed> runs(long now) {
		if (now > this.reportedUntil) {
			this.runs.clear();
		}
		return this.runs;
	}

}
