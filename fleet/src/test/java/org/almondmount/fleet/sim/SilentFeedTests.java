package org.almondmount.fleet.sim;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentFeedTests {

	/**
	 * Time after a fault from which changes have to take effect in time again.
	 */
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long MAX_PROPAGATION_MILLIS = 2_000;

	// Guards against a change by an operator that takes effect late after an intermediary
	// between the entries and the store has lost track of their connections, so that
	// nothing arrives on them any more, not even a close. A change three seconds later
	// then takes effect only when the open request for changes times out after twenty
	// seconds.
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
