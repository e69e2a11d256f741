package org.almondmount.intake;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.intake.EvictionPolicy.Candidate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EvictionPolicyTests {

	private static final int KILOBYTE = 1_024;

	private final List<Candidate<String>> candidates = new ArrayList<>();

	// Guards against an ordinary call that is closed in favour of a crowd of large ones.
	@Test
	void theCallThatHasOccupiedTheMostForTheLongestIsClosedFirst() {
		add("just begun", false, false, 256 * KILOBYTE, 0);
		add("stalled", false, false, 256 * KILOBYTE, 5_000);
		add("ordinary", false, false, 2 * KILOBYTE, 5);
		assertThat(EvictionPolicy.selectToFree(this.candidates, 300 * KILOBYTE)).containsExactly("stalled",
				"just begun");
	}

	// Guards against an unknown outcome: a complete call may have run already.
	@Test
	void aConnectionWithACompleteCallIsNeverClosed() {
		add("pending", false, true, 256 * KILOBYTE, 5_000);
		assertThat(EvictionPolicy.selectToFree(this.candidates, 1)).isEmpty();
		assertThat(EvictionPolicy.selectForNewcomers(this.candidates, 1)).isEmpty();
	}

	@Test
	void aStrangerIsClosedBeforeACallerWithAValidKey() {
		add("customer", true, false, 256 * KILOBYTE, 2_000);
		add("stranger", false, false, 256 * KILOBYTE, 1_000);
		assertThat(EvictionPolicy.selectToFree(this.candidates, 1)).containsExactly("stranger");
		assertThat(EvictionPolicy.selectForNewcomers(this.candidates, 1)).containsExactly("stranger");
	}

	// Guards against newcomers that push each other out before they can send anything.
	@Test
	void aNewcomerTakesThePlaceOfStalledConnectionsOnly() {
		add("just connected", false, false, 0, EvictionPolicy.MIN_STALLED_MILLIS - 1);
		add("stalled", false, false, 0, 1_000);
		add("longest stalled", false, false, 0, 9_000);
		assertThat(EvictionPolicy.selectForNewcomers(this.candidates, 5)).containsExactly("longest stalled", "stalled");
		assertThat(EvictionPolicy.selectForNewcomers(this.candidates, 1)).containsExactly("longest stalled");
	}

	private void add(String name, boolean authenticated, boolean pending, long bytes, long stalledMillis) {
		this.candidates.add(new Candidate<>(name, new ConnectionLoad(authenticated, pending, bytes, stalledMillis)));
	}

}
