package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FeatureTriggerTests {

	@Test
	void attemptsAreToSpareFromThreeOn() {
		assertThat(FeatureTrigger.SPARE_ATTEMPTS.matches(queuesWithAttempts(2, 1))).isFalse();
		assertThat(FeatureTrigger.SPARE_ATTEMPTS.matches(queuesWithAttempts(2, 3))).isTrue();
	}

	@Test
	void guaranteesAreUnevenFromFourTimesTheSmallestOn() {
		assertThat(FeatureTrigger.UNEVEN_GUARANTEES.matches(guarantees(8, 16, 24))).isFalse();
		assertThat(FeatureTrigger.UNEVEN_GUARANTEES.matches(guarantees(8, 16, 32))).isTrue();
	}

	@Test
	void aSingleGuaranteeIsNotUneven() {
		assertThat(FeatureTrigger.UNEVEN_GUARANTEES.matches(guarantees(0, 32))).isFalse();
		assertThat(FeatureTrigger.UNEVEN_GUARANTEES.matches(FleetConfiguration.NONE)).isFalse();
	}

	private static FleetConfiguration queuesWithAttempts(int... attempts) {
		List<JobQueue> queues = new ArrayList<>();
		for (int maxAttempts : attempts) {
			queues.add(new JobQueue("q" + queues.size(), "h", "/", "pool", 0, maxAttempts, 3, 1_000, false, false));
		}
		return new FleetConfiguration(1, queues, List.of("pool"), List.of());
	}

	private static FleetConfiguration guarantees(long... accelerators) {
		List<FleetCustomer> customers = new ArrayList<>();
		for (long guaranteed : accelerators) {
			customers.add(new FleetCustomer("c" + customers.size(), Set.of(), guaranteed));
		}
		return new FleetConfiguration(1, List.of(), List.of("pool"), customers);
	}

}
