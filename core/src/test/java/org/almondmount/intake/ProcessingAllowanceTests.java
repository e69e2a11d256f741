package org.almondmount.intake;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessingAllowanceTests {

	private static final long PARTS_OF_A_CALL = 20;

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private final ProcessingAllowance allowance = new ProcessingAllowance();

	@Test
	void ordinaryCallsNeverWait() {
		for (long call = 1; call < 1_000; call++) {
			assertThat(this.allowance.charge(call * 20 * MILLISECOND, PARTS_OF_A_CALL)).isFalse();
		}
	}

	// Guards against a connection of very small pieces that keeps the thread from others.
	@Test
	void aConnectionOfManySmallPartsWaitsForItsTurn() {
		long parts = 0;
		while (!this.allowance.charge(parts, 1)) {
			parts++;
		}
		assertThat(parts).isLessThan(5 * PARTS_OF_A_CALL);
		assertThat(this.allowance.charge(parts, 1)).isTrue();
	}

	@Test
	void aConnectionThatPausesEarnsItsAllowanceBack() {
		this.allowance.charge(0, 1_000);
		assertThat(this.allowance.charge(100 * MILLISECOND, 0)).isTrue();
		assertThat(this.allowance.usedParts()).isEqualTo(800);
		assertThat(this.allowance.charge(1_000 * MILLISECOND, 0)).isFalse();
	}

}
