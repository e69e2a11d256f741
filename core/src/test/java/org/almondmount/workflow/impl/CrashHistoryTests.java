package org.almondmount.workflow.impl;

import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.WorkerIncarnation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashHistoryTests {

	private static final WorkerIncarnation LIFE = new WorkerIncarnation("worker-1", 1);

	private final CrashHistory crashes = new CrashHistory();

	// Guards against a crash that counts again with each report of it, after the task
	// that lasts has shown that it is not to blame.
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
		return new Crash(run, LIFE, true, 500, 100);
	}

}
