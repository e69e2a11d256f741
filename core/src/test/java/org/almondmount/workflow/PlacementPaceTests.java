package org.almondmount.workflow;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementPaceTests {

	private final PlacementPace pace = new PlacementPace();

	@Test
	void nothingIsPlacedWhereNothingHasChanged() {
		assertThat(this.pace.due(0)).isFalse();
		this.pace.want();
		this.pace.placed(0, 0);
		assertThat(this.pace.due(10)).isFalse();
	}

	@Test
	void aQuickHolderPlacesAtOnce() {
		this.pace.want();
		assertThat(this.pace.due(0)).isTrue();
		this.pace.placed(0, 0);
		this.pace.want();
		assertThat(this.pace.due(0)).isTrue();
	}

	// All power is back, and words of workers come faster than the holder can place after
	// each. Half of its time is left for its term, whatever a round takes.
	@Test
	void aSlowHolderIsBusyWithPlacingForHalfOfItsTimeAtMost() {
		long busy = 0;
		long now = 0;
		while (now < 60_000) {
			this.pace.want();
			if (this.pace.due(now)) {
				this.pace.placed(now, now + 400);
				now += 400;
				busy += 400;
			}
			now++;
		}
		assertThat(busy).isBetween(20_000L, 30_400L);
	}

}
