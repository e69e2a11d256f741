package org.almondmount.lease;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class LeasePropertyTests {

	private static final long STEP_MILLIS = 10;

	// Two schedulers acting at once would place the same accelerators twice. Here answers
	// are lost and late, commits take effect after they were called unknown, holders are
	// paused past their lease and the table goes away; still, at every moment and by
	// their own clocks, at most one keeper may act.
	@Property(tries = 150, seed = "4102")
	void atMostOneEntryHoldsTheLease(@ForAll long seed) {
		LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 2 + (int) Math.floorMod(seed, 2L));
		for (int step = 0; step < 6_000; step++) {
			simulation.run(STEP_MILLIS);
			assertThat(simulation.holders()).hasSizeLessThanOrEqualTo(1);
		}
	}

	// A holder that was paused goes on with what it was about to commit. Its commit is on
	// the condition of its epoch, so nothing of an older epoch takes effect after
	// something of a newer one.
	@Property(tries = 50, seed = "4103")
	void commitsTakeEffectInTheOrderOfTheirEpochs(@ForAll long seed) {
		LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 3);
		simulation.run(120_000);
		assertThat(simulation.committedEpochs()).isSorted();
	}

	// Whatever happened before, once the table answers and nobody is paused, the lease is
	// held again within the time that an observer waits and a few exchanges.
	@Property(tries = 50, seed = "4104")
	void leaseIsHeldAgainSoonAfterFaultsEnd(@ForAll long seed) {
		LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 3);
		simulation.run(60_000);
		simulation.stopFaults();
		simulation.run(3 * LeaseSimulation.LENGTH_MILLIS);
		assertThat(simulation.holders()).hasSize(1);
	}

}
