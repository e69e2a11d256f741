package org.almondmount.worker;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.workflow.WorkerReport;

/**
 * The runs that were active when previous incarnations of a worker crashed, while they
 * are reported to holders. Mutable; owned by the worker manager.
 * <p>
 * A holder that received a crash may lose its term before it has stored it, so the crash
 * is reported to the next holder as well. Holders count each run once.
 */
final class RecentCrashes {

	/**
	 * How long a crash is reported, in milliseconds; longer than it takes until the next
	 * holder decides.
	 */
	private static final long REPORT_PERIOD_MILLIS = 60_000;

	/** Bounds the size of the report of a worker that crashes repeatedly. */
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
