package org.almondmount.fleet.sim;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentFeedTests {

	/**
	 * After a fault has passed for so long, changes have to be in force in time again.
	 */
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long MAX_PROPAGATION_MILLIS = 2_000;

	// Something between the entries and the store loses track of their connections, and
	// nothing comes on them any more, not even an end. An operator's change three seconds
	// later was in force only when the open question ran out after twenty.
	@Test
	void aChangeAfterTheFeedsWentSilentTakesEffectInTime() {
		FleetSimulation simulation = new FleetSimulation(3, 3, 3);
		simulation.runFor(4_000);
		simulation.entries().forEach(FleetSimulation.EntryProcess::silenceFeeds);
		simulation.runFor(RECOVERY_MILLIS);
		simulation.store().put("op", "config", "2");
		simulation.runFor(MAX_PROPAGATION_MILLIS);
		assertThat(simulation.entries()).allMatch((entry) -> entry.configuration().revision() == 2);
	}

}
