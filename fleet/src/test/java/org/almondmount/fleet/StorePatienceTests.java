package org.almondmount.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StorePatienceTests {

	private final StorePatience patience = new StorePatience();

	// After a simultaneous restart of all entries the first answer takes 200 ms, most of
	// it in the process itself. A shorter timeout abandons that call and refuses callers.
	@Test
	void timeoutIsLongerBeforeTheFirstAnswer() {
		assertThat(this.patience.timeout().toMillis()).isGreaterThanOrEqualTo(500);
	}

	@Test
	void timeoutIsShortForAFastStore() {
		recordAnswers(20, 4);
		assertThat(this.patience.timeout().toMillis()).isEqualTo(150);
	}

	@Test
	void timeoutGrowsForASlowStore() {
		recordAnswers(20, 4);
		recordAnswers(20, 300);
		assertThat(this.patience.timeout().toMillis()).isEqualTo(1_200);
	}

	@Test
	void eachUnansweredCallDoublesTheTimeout() {
		recordAnswers(20, 4);
		this.patience.silent();
		assertThat(this.patience.timeout().toMillis()).isEqualTo(300);
		this.patience.silent();
		assertThat(this.patience.timeout().toMillis()).isEqualTo(600);
	}

	@Test
	void silenceIsExpectedUntilTheNextAnswer() {
		assertThat(this.patience.expectsSilence()).isFalse();
		this.patience.silent();
		assertThat(this.patience.expectsSilence()).isTrue();
		this.patience.silent();
		assertThat(this.patience.expectsSilence()).isTrue();
		this.patience.answered(4);
		assertThat(this.patience.expectsSilence()).isFalse();
	}

	private void recordAnswers(int count, long millis) {
		for (int i = 0; i < count; i++) {
			this.patience.answered(millis);
		}
	}

}
