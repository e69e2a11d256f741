package org.almondmount.workflow;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementRateLimiterTests {

	private final PlacementRateLimiter limiter = new PlacementRateLimiter();

	@Test
	void noRoundIsDueUnlessOneIsRequested() {
		assertThat(this.limiter.isDue(0)).isFalse();
		this.limiter.requestRound();
		this.limiter.recordRound(0, 0);
		assertThat(this.limiter.isDue(10)).isFalse();
	}

	@Test
	void nextRoundIsDueAtOnceAfterAnInstantRound() {
		this.limiter.requestRound();
		assertThat(this.limiter.isDue(0)).isTrue();
		this.limiter.recordRound(0, 0);
		this.limiter.requestRound();
		assertThat(this.limiter.isDue(0)).isTrue();
	}

	// After a power loss, workers report faster than the holder can run a round for each
	// report. Half of the time must be left for renewing the term, whatever a round
	// takes.
	@Test
	void slowRoundsTakeAtMostHalfOfTheTime() {
		long placementMillis = 0;
		long now = 0;
		while (now < 60_000) {
			this.limiter.requestRound();
			if (this.limiter.isDue(now)) {
				this.limiter.recordRound(now, now + 400);
				now += 400;
				placementMillis += 400;
			}
			now++;
		}
		assertThat(placementMillis).isBetween(20_000L, 30_400L);
	}

}
