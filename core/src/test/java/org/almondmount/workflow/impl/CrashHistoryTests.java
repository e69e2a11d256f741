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
	void aReportOfAForgottenCrashCountsNothing() {
		assertThat(this.crashes.add(0, seen(1))).isTrue();
		this.crashes.clear();
		assertThat(this.crashes.add(1_000, seen(1))).isFalse();
		assertThat(this.crashes.isEmpty()).isTrue();
	}

	@Test
	void aCrashOfALaterRunCountsAgain() {
		this.crashes.add(0, seen(1));
		this.crashes.clear();
		assertThat(this.crashes.add(1_000, seen(2))).isTrue();
	}

	private static Crash seen(int run) {
		return new Crash(run, LIFE, true, 500, 100);
	}

}
