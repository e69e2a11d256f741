package org.almondmount.intake;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IntakePolicyTests {

	private final IntakePolicy policy = IntakePolicy.DEFAULT;

	@Test
	void whatWasSentNowhereLeavesItsCallerTheGreaterPartOfItsTime() {
		long waited = this.policy.waitsUntil(10_000, 3_000, false) - 10_000;
		assertThat(waited).isPositive().isLessThan(1_500);
	}

	@Test
	void whatMayBeKeptWaitsAsLongAsItsCaller() {
		assertThat(this.policy.waitsUntil(10_000, 3_000, true)).isBetween(12_500L, 12_999L);
	}

	@Test
	void aCallerWithoutTimeIsAnsweredAtOnce() {
		assertThat(this.policy.waitsUntil(10_000, 0, false)).isEqualTo(10_000);
		assertThat(this.policy.waitsUntil(10_000, 100, true)).isEqualTo(10_000);
	}

	// Told to come back in a second, a caller with less than that never comes: it is lost
	// by our own advice.
	@Test
	void noCallerIsToldToComeBackAfterItsTime() {
		for (long left = 0; left < 5_000; left += 50) {
			assertThat(this.policy.comeBackAfter(left)).as("with %d ms left", left)
				.isLessThanOrEqualTo(Duration.ofMillis(left));
		}
	}

	// A caller of three seconds whose store is away: each entry lets it wait and tells it
	// when to come back. It must still be in line within the last half second of its
	// time.
	@Test
	void aCallerThatFollowsTheAdviceIsInLineUntilNearItsEnd() {
		long now = 0;
		long lastInLine = 0;
		for (int attempt = 0; attempt < 5; attempt++) {
			lastInLine = this.policy.waitsUntil(now, 3_000 - now, false);
			now = lastInLine + this.policy.comeBackAfter(3_000 - lastInLine).toMillis();
		}
		assertThat(lastInLine).isBetween(2_500L, 3_000L);
	}

}
