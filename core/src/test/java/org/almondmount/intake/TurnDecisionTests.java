package org.almondmount.intake;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TurnDecisionTests {

	private static final long CAPACITY = 20 << 20;

	private static final long LARGE = 256 << 10;

	@Test
	void aSingleLargeCallReadsOn() {
		assertThat(TurnDecision.of(LARGE, CAPACITY, LARGE)).isEqualTo(TurnDecision.READ);
	}

	// Guards against a crowd of slow calls that fills the memory, is closed, and connects
	// again.
	@Test
	void aLargeCallIsRefusedOnceSlowCallsHoldHalfOfTheMemory() {
		assertThat(TurnDecision.of(CAPACITY / 2 + 1, CAPACITY, LARGE)).isEqualTo(TurnDecision.REFUSE);
		assertThat(TurnDecision.REFUSE.rest()).isPositive();
	}

	@Test
	void anOrdinaryCallReadsOnWhateverOthersHold() {
		assertThat(TurnDecision.of(CAPACITY, CAPACITY, 2 << 10)).isEqualTo(TurnDecision.READ);
	}

}
