package org.almondmount.gang;

import java.time.Duration;

import org.almondmount.model.Resources;

/**
 * The options of a member manager. Immutable; the with-methods return changed copies.
 *
 * @param capacity the total capacity of the worker
 * @param prepareHold how long capacity is held for a member that is not started
 * @param gangTimeout how long a member runs without confirmation that its gang is fully
 * running
 * @param taskLease the lease under which the worker runs a task
 * @param suspendTimeout how long a task may take to checkpoint before it is stopped
 * @param reportInterval interval at which reports are repeated
 * @param startedReportPeriod how long the report of a start is repeated
 * @param fenceRetention how long the highest fenced attempt of a job is remembered
 * @param maxFencedJobs maximum number of jobs with a remembered fenced attempt
 */
public record MemberPolicy(Resources capacity, Duration prepareHold, Duration gangTimeout, Duration taskLease,
		Duration suspendTimeout, Duration reportInterval, Duration startedReportPeriod, Duration fenceRetention,
		int maxFencedJobs) {

	/** The defaults, for a worker without capacity. */
	public static final MemberPolicy DEFAULT = new MemberPolicy(Resources.NONE, Duration.ofSeconds(5),
			Duration.ofSeconds(6), Duration.ofSeconds(6), Duration.ofSeconds(10), Duration.ofSeconds(1),
			Duration.ofSeconds(10), Duration.ofMinutes(10), 65_536);

	public MemberPolicy withCapacity(Resources newCapacity) {
		return new MemberPolicy(newCapacity, this.prepareHold, this.gangTimeout, this.taskLease, this.suspendTimeout,
				this.reportInterval, this.startedReportPeriod, this.fenceRetention, this.maxFencedJobs);
	}

	public MemberPolicy withPrepareHold(Duration newPrepareHold) {
		return new MemberPolicy(this.capacity, newPrepareHold, this.gangTimeout, this.taskLease, this.suspendTimeout,
				this.reportInterval, this.startedReportPeriod, this.fenceRetention, this.maxFencedJobs);
	}

	public MemberPolicy withGangTimeout(Duration newGangTimeout) {
		return new MemberPolicy(this.capacity, this.prepareHold, newGangTimeout, this.taskLease, this.suspendTimeout,
				this.reportInterval, this.startedReportPeriod, this.fenceRetention, this.maxFencedJobs);
	}

	public MemberPolicy withTaskLease(Duration newTaskLease) {
		return new MemberPolicy(this.capacity, this.prepareHold, this.gangTimeout, newTaskLease, this.suspendTimeout,
				this.reportInterval, this.startedReportPeriod, this.fenceRetention, this.maxFencedJobs);
	}

	public MemberPolicy withSuspendTimeout(Duration newSuspendTimeout) {
		return new MemberPolicy(this.capacity, this.prepareHold, this.gangTimeout, this.taskLease, newSuspendTimeout,
				this.reportInterval, this.startedReportPeriod, this.fenceRetention, this.maxFencedJobs);
	}

	/**
	 * Returns the interval at which the worker's lease is renewed. Two renewals in a row
	 * may fail before the lease expires.
	 * @return a third of the lease
	 */
	public Duration renewalInterval() {
		return this.taskLease.dividedBy(3);
	}

}
