package org.almondmount.intake;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IntakeLineTests {

	private final IntakeLine<String> line = new IntakeLine<>(3);

	@Test
	void theUrgentComeFirstAndTheOldestAmongAlike() {
		this.line.add(2, 100, "old");
		this.line.add(0, 100, "urgent");
		this.line.add(2, 50, "new");
		assertThat(this.line.takeFirst((one) -> true)).contains("urgent");
		assertThat(this.line.takeFirst((one) -> true)).contains("old");
		assertThat(this.line.takeFirst((one) -> true)).contains("new");
		assertThat(this.line.takeFirst((one) -> true)).isEmpty();
	}

	@Test
	void whatIsNotReadyStaysInItsPlace() {
		this.line.add(0, 100, "first");
		this.line.add(1, 100, "second");
		assertThat(this.line.takeFirst((one) -> one.equals("second"))).contains("second");
		assertThat(this.line.takeFirst((one) -> true)).contains("first");
	}

	@Test
	void whatHasWaitedLongEnoughIsTakenOut() {
		this.line.add(1, 100, "a");
		this.line.add(1, 200, "b");
		assertThat(this.line.takeExpired(99)).isEmpty();
		assertThat(this.line.takeExpired(100)).containsExactly("a");
		assertThat(this.line.size()).isEqualTo(1);
	}

	@Test
	void aFullLineTakesNoMore() {
		for (int i = 0; i < 3; i++) {
			assertThat(this.line.add(1, 100, "x")).isTrue();
		}
		assertThat(this.line.add(0, 100, "y")).isFalse();
	}

}
