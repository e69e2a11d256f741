package org.almondmount.gang;

import java.util.List;

import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobId;
import org.almondmount.model.WorkerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RunningGangTrackerTests {

	private static final Attempt GANG = new Attempt(new JobId("job"), 1);

	private static final WorkerId WORKER_A = new WorkerId("a");

	private static final WorkerId WORKER_B = new WorkerId("b");

	private final RunningGangTracker tracker = new RunningGangTracker(2_000);

	@Test
	void gangIsFullyRunningOnceEveryMemberIsReportedRunning() {
		this.tracker.recordHeartbeat(0, WORKER_A, List.of(member(0, true)));
		assertThat(this.tracker.isFullyRunning(0, GANG)).isFalse();
		this.tracker.recordHeartbeat(10, WORKER_B, List.of(member(1, true)));
		assertThat(this.tracker.fullyRunningAttempts(10, WORKER_A)).containsExactly(GANG);
	}

	// Guards against half a gang that keeps running alone. The start order reached only
	// half of the members; if held members counted, preparing the other half again and
	// again would keep the first half running.
	@Test
	void gangWithAHeldMemberIsNotFullyRunning() {
		this.tracker.recordHeartbeat(0, WORKER_A, List.of(member(0, true)));
		this.tracker.recordHeartbeat(0, WORKER_B, List.of(member(1, false)));
		assertThat(this.tracker.isFullyRunning(0, GANG)).isFalse();
	}

	@Test
	void gangIsNotFullyRunningOnceAHeartbeatHasExpired() {
		this.tracker.recordHeartbeat(0, WORKER_A, List.of(member(0, true)));
		this.tracker.recordHeartbeat(1_500, WORKER_B, List.of(member(1, true)));
		assertThat(this.tracker.isFullyRunning(2_000, GANG)).isTrue();
		assertThat(this.tracker.isFullyRunning(2_001, GANG)).isFalse();
	}

	@Test
	void gangIsNotFullyRunningOnceAMemberIsNoLongerReported() {
		this.tracker.recordHeartbeat(0, WORKER_A, List.of(member(0, true)));
		this.tracker.recordHeartbeat(0, WORKER_B, List.of(member(1, true)));
		this.tracker.recordHeartbeat(1, WORKER_B, List.of());
		assertThat(this.tracker.isFullyRunning(1, GANG)).isFalse();
	}

	@Test
	void gangIsNotFullyRunningOnceAWorkerIsLost() {
		this.tracker.recordHeartbeat(0, WORKER_A, List.of(member(0, true), member(1, true)));
		this.tracker.removeWorker(WORKER_A);
		assertThat(this.tracker.isFullyRunning(0, GANG)).isFalse();
	}

	private static HeldMember member(int number, boolean running) {
		return new HeldMember(GANG, number, 2, running);
	}

}
