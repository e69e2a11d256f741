package org.almondmount.workflow.impl;

import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.WorkerIncarnation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashHistoryTests {

	private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("worker-1", 1);

	private final CrashHistory crashes = new CrashHistory();

	// Crash reports are repeated. Guards against counting a crash again after a service
	// has shown that it is not to blame and its history has been cleared.
	@Test
	void repeatedReportOfAClearedCrashIsIgnored() {
		assertThat(this.crashes.add(0, observedCrash(1))).isTrue();
		this.crashes.clear();
		assertThat(this.crashes.add(1_000, observedCrash(1))).isFalse();
		assertThat(this.crashes.isEmpty()).isTrue();
	}

	@Test
	void crashOfALaterRunIsCountedAfterClear() {
		this.crashes.add(0, observedCrash(1));
		this.crashes.clear();
		assertThat(this.crashes.add(1_000, observedCrash(2))).isTrue();
	}

	private static Crash observedCrash(int run) {
		return new Crash(run, INCARNATION, true, 500, 100);
	}

}
