package org.almondmount.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StorePatienceTests {

	private final AdaptiveStoreTimeout patience = new AdaptiveStoreTimeout();

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
		this.patience.onTimeout();
		assertThat(this.patience.timeout().toMillis()).isEqualTo(300);
		this.patience.onTimeout();
		assertThat(this.patience.timeout().toMillis()).isEqualTo(600);
	}

	@Test
	void silenceIsExpectedUntilTheNextAnswer() {
		assertThat(this.patience.isSilenceExpected()).isFalse();
		this.patience.onTimeout();
		assertThat(this.patience.isSilenceExpected()).isTrue();
		this.patience.onTimeout();
		assertThat(this.patience.isSilenceExpected()).isTrue();
		this.patience.onAnswer(4);
		assertThat(this.patience.isSilenceExpected()).isFalse();
	}

	private void recordAnswers(int count, long millis) {
		for (int i = 0; i < count; i++) {
			this.patience.onAnswer(millis);
		}
	}

}
