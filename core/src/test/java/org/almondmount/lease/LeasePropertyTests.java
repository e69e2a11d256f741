package org.almondmount.lease;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class LeasePropertyTests {

	private static final long STEP_MILLIS = 10;

	// Guards against two entries that act as holder at the same time, which would place
	// the same accelerators twice. Answers are lost or late, commits take effect after
	// their outcome was reported as unknown, holders are paused past the end of their
	// lease and the table is unavailable at times. At every moment at most one entry may
	// act by its own clock.
	@Property(tries = 150, seed = "4102")
	void atMostOneEntryHoldsTheLease(@ForAll long seed) {
		LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 2 + (int) Math.floorMod(seed, 2L));
		for (int step = 0; step < 6_000; step++) {
			simulation.run(STEP_MILLIS);
			assertThat(simulation.holders()).hasSizeLessThanOrEqualTo(1);
		}
	}

	// Guards against a late commit of a former holder: after a pause it still sends the
	// commit that it had prepared. Commits are conditional on the epoch, so none of an
	// older epoch takes effect after one of a newer epoch.
	@Property(tries = 50, seed = "4103")
	void commitsTakeEffectInTheOrderOfTheirEpochs(@ForAll long seed) {
		LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 3);
		simulation.run(120_000);
		assertThat(simulation.committedEpochs()).isSorted();
	}

	// Guards against a lease that stays without a holder after faults. Once the table
	// answers and no entry is paused, the lease is held again within the time that an
	// observer waits and a few exchanges.
	@Property(tries = 50, seed = "4104")
	void leaseIsHeldAgainSoonAfterFaultsEnd(@ForAll long seed) {
		LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 3);
		simulation.run(60_000);
		simulation.stopFaults();
		simulation.run(3 * LeaseSimulation.LENGTH_MILLIS);
		assertThat(simulation.holders()).hasSize(1);
	}

}
