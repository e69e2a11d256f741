package org.almondmount.fleet.sim;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentFeedTests {

	/**
	 * After a fault has passed for so long, changes have to be in force in time again.
	 */
	private static final long CALM_MILLIS = 3_000;

	private static final long IN_FORCE_MILLIS = 2_000;

	// Something between the entries and the store loses track of their connections, and
	// nothing comes on them any more, not even an end. An operator's change three seconds
	// later was in force only when the open question ran out after twenty.
	@Test
	void aChangeAfterTheFeedsWentSilentIsInForceInTime() {
		FleetWorld world = new FleetWorld(3, 3, 3);
		world.runFor(4_000);
		world.entries().forEach(FleetWorld.EntryProcess::silenceFeeds);
		world.runFor(CALM_MILLIS);
		world.store().put("op", "config", "2");
		world.runFor(IN_FORCE_MILLIS);
		assertThat(world.entries()).allMatch((entry) -> entry.configuration().revision() == 2);
	}

}
