package org.almondmount.fleet.entry;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoredCancellationsTests {

	private static final long RETENTION_MILLIS = 100;

	private final StoredCancellations cancellations = new StoredCancellations(RETENTION_MILLIS);

	// Guards against a cancellation that is forgotten although its job has appeared.
	@Test
	void onlyRowsWhoseJobHasNotAppearedExpire() {
		this.cancellations.replaceAll(0, List.of("known", "unknown"));
		assertThat(this.cancellations.nextExpired(99, "known"::equals)).isEmpty();
		assertThat(this.cancellations.nextExpired(100, "known"::equals)).contains("unknown");
	}

	// Guards against a row that can't be removed and keeps the others from it.
	@Test
	void anExpiredRowIsReturnedAgainAfterTheOthers() {
		this.cancellations.replaceAll(0, List.of("a", "b"));
		assertThat(this.cancellations.nextExpired(100, (job) -> false)).contains("a");
		assertThat(this.cancellations.nextExpired(100, (job) -> false)).contains("b");
		assertThat(this.cancellations.nextExpired(100, (job) -> false)).isEmpty();
		assertThat(this.cancellations.nextExpired(200, (job) -> false)).contains("a");
	}

}
