package org.almondmount.workflow;

import java.util.EnumSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulerPolicyTests {

	@Test
	void allFeaturesButSharingAreOnByDefault() {
		assertThat(SchedulerPolicy.DEFAULT.features()).containsExactlyInAnyOrderElementsOf(
				EnumSet.complementOf(EnumSet.of(SchedulerFeature.SHARE_BETWEEN_CUSTOMERS)));
	}

	@Test
	void oneFeatureIsSwitchedOffByItself() {
		SchedulerPolicy policy = SchedulerPolicy.DEFAULT.without(SchedulerFeature.RESERVE_ROOM);
		assertThat(policy.isEnabled(SchedulerFeature.RESERVE_ROOM)).isFalse();
		assertThat(policy.features()).hasSize(SchedulerFeature.DEFAULTS.size() - 1);
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
