package org.almondmount.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StorePatienceTests {

	private final AdaptiveStoreTimeout patience = new AdaptiveStoreTimeout();

	// All entries were started anew at the same time. The first answer takes 200 ms, most
	// of it in the process itself; callers were refused because it had been given up.
	@Test
	void aProcessThatHasJustStartedWaitsLonger() {
		assertThat(this.patience.timeout().toMillis()).isGreaterThanOrEqualTo(500);
	}

	@Test
	void aQuickStoreIsGivenUpQuickly() {
		answers(20, 4);
		assertThat(this.patience.timeout().toMillis()).isEqualTo(150);
	}

	@Test
	void aSlowStoreIsWaitedFor() {
		answers(20, 4);
		answers(20, 300);
		assertThat(this.patience.timeout().toMillis()).isEqualTo(1_200);
	}

	@Test
	void eachSilenceDoublesTheTime() {
		answers(20, 4);
		this.patience.onTimeout();
		assertThat(this.patience.timeout().toMillis()).isEqualTo(300);
		this.patience.onTimeout();
		assertThat(this.patience.timeout().toMillis()).isEqualTo(600);
	}

	@Test
	void silenceIsExpectedUntilAnAnswer() {
		assertThat(this.patience.isSilenceExpected()).isFalse();
		this.patience.onTimeout();
		assertThat(this.patience.isSilenceExpected()).isTrue();
		this.patience.onTimeout();
		assertThat(this.patience.isSilenceExpected()).isTrue();
		this.patience.onAnswer(4);
		assertThat(this.patience.isSilenceExpected()).isFalse();
	}

	private void answers(int count, long millis) {
		for (int i = 0; i < count; i++) {
			this.patience.onAnswer(millis);
		}
	}

}
