package org.almondmount.intake;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IntakePolicyTests {

	private final IntakePolicy policy = IntakePolicy.DEFAULT;

	@Test
	void aJobThatWasNotSentLeavesItsCallerMostOfItsTimeout() {
		long waited = this.policy.waitDeadline(10_000, 3_000, false) - 10_000;
		assertThat(waited).isPositive().isLessThan(1_500);
	}

	@Test
	void aJobThatMayBeStoredWaitsForItsCallersWholeTimeout() {
		assertThat(this.policy.waitDeadline(10_000, 3_000, true)).isBetween(12_500L, 12_999L);
	}

	@Test
	void aCallerWithoutRemainingTimeIsAnsweredImmediately() {
		assertThat(this.policy.waitDeadline(10_000, 0, false)).isEqualTo(10_000);
		assertThat(this.policy.waitDeadline(10_000, this.policy.responseMarginMillis(), true)).isEqualTo(10_000);
	}

	@Test
	void aJobWithoutTimeForAnotherAttemptWaitsForItsWholeTimeout() {
		assertThat(this.policy.waitDeadline(10_000, 500, false)).isBetween(10_350L, 10_499L);
	}

	// Guards against a retry-after time that exceeds the caller's remaining time, for
	// example one second with less than that left: such a caller never retries.
	@Test
	void retryAfterNeverExceedsTheRemainingTime() {
		for (IntakeRefusal reason : IntakeRefusal.values()) {
			for (long remainingMillis = 0; remainingMillis < 5_000; remainingMillis += 50) {
				assertThat(this.policy.retryAfter(reason, remainingMillis))
					.as("%s with %d ms left", reason, remainingMillis)
					.isLessThanOrEqualTo(Duration.ofMillis(remainingMillis));
			}
		}
	}

	@Test
	void aCallerRefusedByAFullQueueRetriesLater() {
		assertThat(this.policy.retryAfter(IntakeRefusal.TOO_MANY_WAIT, 3_000)).isPositive();
	}

	// Guards against a caller that is not queued when the store returns. The caller has a
	// timeout of three seconds, and each entry queues its job and then returns a
	// retry-after time. The job has to be queued at any time before the last tenth of the
	// timeout, with at most five attempts.
	@Test
	void aCallerThatFollowsRetryAfterIsAlwaysQueued() {
		long now = 0;
		for (int attempt = 0; attempt < 5; attempt++) {
			long deadline = this.policy.waitDeadline(now, 3_000 - now, false);
			assertThat(deadline).isGreaterThanOrEqualTo(now);
			now = deadline;
			assertThat(this.policy.retryAfter(IntakeRefusal.STORE_SILENT, 3_000 - now)).isZero();
		}
		assertThat(now).isBetween(2_700L, 3_000L);
	}

}
