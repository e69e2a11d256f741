package org.almondmount.workflow.impl;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RunTimeEstimatorTests {

	private final RunTimeEstimator estimator = new RunTimeEstimator();

	@Test
	void callerEstimateIsUsedUntilTasksHaveEnded() {
		assertThat(this.estimator.expected("q", 3_000)).isEqualTo(3_000);
		assertThat(this.estimator.expected("q", 0)).isZero();
	}

	// Guards against trusting inaccurate estimates: in a queue whose estimates are wrong
	// by up to ten times either way while all tasks take about four seconds, a job with
	// an estimate of 0.4 s was taken to be too late already.
	@Test
	void inaccurateEstimatesAreReplacedByTheUsualRunTimeOfTheQueue() {
		Random random = new Random(1);
		for (int i = 0; i < 40; i++) {
			this.estimator.addSample("bad", Math.round(4_000 * Math.exp(1.5 * random.nextGaussian())), 4_000);
		}
		assertThat(this.estimator.expected("bad", 400)).isBetween(2_500L, 4_500L);
		assertThat(this.estimator.expected("bad", 40_000)).isBetween(3_500L, 6_500L);
	}

	@Test
	void accurateEstimatesAreKept() {
		Random random = new Random(2);
		for (int i = 0; i < 40; i++) {
			long millis = Math.round(4_000 * Math.exp(random.nextGaussian()));
			this.estimator.addSample("good", millis, millis);
		}
		assertThat(this.estimator.expected("good", 400)).isCloseTo(400, within(40L));
		assertThat(this.estimator.expected("good", 40_000)).isCloseTo(40_000, within(4_000L));
	}

	@Test
	void estimatesThatAreAllTooLowAreRaised() {
		for (int i = 0; i < 40; i++) {
			this.estimator.addSample("low", 1_000, 3_000);
		}
		assertThat(this.estimator.expected("low", 1_000)).isBetween(2_600L, 3_100L);
	}

}
