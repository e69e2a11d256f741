package org.almondmount.fleet.sim;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LostHolderTests {

	/** The duration of a term while commits are fast, in milliseconds. */
	private static final long TERM_DURATION_MILLIS = 1_920;

	/**
	 * Time in which the other entries miss the messages of the holder and poll the store,
	 * in milliseconds.
	 */
	private static final long MAX_DETECTION_MILLIS = 450;

	private static final long PERMANENT_CUT_MILLIS = 60_000;

	// Guards against callers that wait for the next holder longer than the term of its
	// predecessor lasts.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void theNextTermBeginsSoonAfterTheHoldersVmIsLost(long seed) {
		FleetSimulation simulation = new FleetSimulation(seed, 5, 3);
		simulation.runFor(4_000 + 37 * seed);
		long lost = simulation.clock().now();
		long epoch = simulation.epoch();
		FleetSimulation.EntryProcess holder = simulation.holder();
		holder.cutFromNetwork(PERMANENT_CUT_MILLIS);
		holder.cutFromStore(PERMANENT_CUT_MILLIS);
		while (simulation.epoch() == epoch && simulation.clock().now() - lost < PERMANENT_CUT_MILLIS) {
			simulation.runFor(10);
		}
		assertThat(simulation.clock().now() - lost).isLessThanOrEqualTo(TERM_DURATION_MILLIS + MAX_DETECTION_MILLIS);
	}

	// Guards against a term that is acquired while its holder still makes decisions.
	@Test
	void aHolderThatOtherEntriesCannotReachKeepsItsTerm() {
		FleetSimulation simulation = new FleetSimulation(9, 5, 3);
		simulation.runFor(4_000);
		long epoch = simulation.epoch();
		simulation.holder().cutFromNetwork(10_000);
		simulation.runFor(10_000);
		assertThat(simulation.epoch()).isEqualTo(epoch);
	}

}
