package org.almondmount.fleet.sim;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LostHolderTests {

	/** The length of a term while commits are quick, in milliseconds. */
	private static final long TERM_MILLIS = 1_920;

	/** Words and looks of entries, in milliseconds. */
	private static final long NOTICE_MILLIS = 450;

	private static final long FOR_GOOD_MILLIS = 60_000;

	// Guards against callers that wait for the next holder longer than its predecessor's
	// term lasts.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void theNextTermBeginsSoonAfterTheHoldersVmIsLost(long seed) {
		FleetWorld world = new FleetWorld(seed, 5, 3);
		world.runFor(4_000 + 37 * seed);
		long lost = world.time().now();
		long epoch = world.epoch();
		FleetWorld.EntryProcess holder = world.theHolder();
		holder.cut(FOR_GOOD_MILLIS);
		holder.cutFromStore(FOR_GOOD_MILLIS);
		while (world.epoch() == epoch && world.time().now() - lost < FOR_GOOD_MILLIS) {
			world.runFor(10);
		}
		assertThat(world.time().now() - lost).isLessThanOrEqualTo(TERM_MILLIS + NOTICE_MILLIS);
	}

	// Guards against a term that is taken while its holder still decides.
	@Test
	void aHolderThatTheOthersDoNotHearKeepsItsTerm() {
		FleetWorld world = new FleetWorld(9, 5, 3);
		world.runFor(4_000);
		long epoch = world.epoch();
		world.theHolder().cut(10_000);
		world.runFor(10_000);
		assertThat(world.epoch()).isEqualTo(epoch);
	}

}
