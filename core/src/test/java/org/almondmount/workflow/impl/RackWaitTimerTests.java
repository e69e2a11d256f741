package org.almondmount.workflow.impl;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RackWaitTimerTests {

	private final RackWaitTimer timer = new RackWaitTimer();

	@Test
	void timeInWhichAGangFitsNowhereIsNotCounted() {
		this.timer.keepWaiting(1_000, 500);
		this.timer.pause(1_400);
		assertThat(this.timer.waitedMillis(60_000)).isEqualTo(400);
		this.timer.keepWaiting(60_000, 500);
		assertThat(this.timer.waitedMillis(60_100)).isEqualTo(500);
	}

	// Guards against a retry that waits for no rack because the time of the run before it
	// counts as a wait.
	@Test
	void theTimeOfARunIsNotCounted() {
		this.timer.keepWaiting(1_000, 500);
		this.timer.reset();
		assertThat(this.timer.waitedMillis(60_000)).isZero();
		assertThat(this.timer.isReviewDue(1_001)).isTrue();
	}

}
