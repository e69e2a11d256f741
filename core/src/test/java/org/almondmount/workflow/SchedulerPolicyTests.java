package org.almondmount.workflow;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulerPolicyTests {

	@Test
	void allFeaturesAreOnByDefault() {
		assertThat(SchedulerPolicy.DEFAULT.features()).isEqualTo(SchedulerFeature.ALL);
	}

	@Test
	void oneFeatureIsSwitchedOffByItself() {
		SchedulerPolicy policy = SchedulerPolicy.DEFAULT.without(SchedulerFeature.RESERVE_ROOM);
		assertThat(policy.isEnabled(SchedulerFeature.RESERVE_ROOM)).isFalse();
		assertThat(policy.features()).hasSize(SchedulerFeature.ALL.size() - 1);
		assertThat(policy.without(SchedulerFeature.RESERVE_ROOM)).isEqualTo(policy);
	}

	@Test
	void allFeaturesCanBeSwitchedOff() {
		assertThat(SchedulerPolicy.DEFAULT.withFeatures(Set.of()).features()).isEmpty();
	}

	@Test
	void otherSettingsKeepTheFeatures() {
		SchedulerPolicy policy = SchedulerPolicy.DEFAULT.without(SchedulerFeature.PACK_TIGHTLY)
			.withLeaseMillis(1)
			.withStopTimeoutMillis(2)
			.withEndedJobRetentionMillis(3);
		assertThat(policy.isEnabled(SchedulerFeature.PACK_TIGHTLY)).isFalse();
	}

}
