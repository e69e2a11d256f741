package org.almondmount.workflow.rack;

import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The decision on the wait alone, replayed for gangs whose racks are free as estimated,
 * and for gangs whose racks are free whenever chance decides.
 */
class RackWaitTests {

	private static final double SLOWDOWN = 3;

	private static final long GAIN_MILLIS = 120_000;

	private static final long STEP_MILLIS = 100;

	private static final int GANGS = 2_000;

	@Test
	void aGangEndsAsSoonAsTheBetterOfBothWaysWhereEstimatesAreRight() {
		Random random = new Random(1);
		for (int i = 0; i < GANGS; i++) {
			long runMillis = 1_000 + random.nextInt(60_000);
			long rackFreeAt = STEP_MILLIS * random.nextInt(2_000);
			long end = end(runMillis, rackFreeAt, (now) -> OptionalLong.of(rackFreeAt - now));
			long across = (long) (runMillis * SLOWDOWN);
			assertThat(end).isLessThanOrEqualTo(Math.min(across, rackFreeAt + runMillis) + STEP_MILLIS);
		}
	}

	// Guards against a wait without a limit where each estimate says that a rack is free
	// soon, and none is.
	@Test
	void aGangIsLateByTwoThirdsAtMostWhereEstimatesAreWrong() {
		Random random = new Random(2);
		for (int i = 0; i < GANGS; i++) {
			long runMillis = 1_000 + random.nextInt(60_000);
			long rackFreeAt = STEP_MILLIS * random.nextInt(4_000);
			long end = end(runMillis, rackFreeAt, (now) -> OptionalLong.of(random.nextInt(3_000)));
			long across = (long) (runMillis * SLOWDOWN);
			long best = Math.min(across, rackFreeAt + runMillis);
			assertThat(end).isLessThanOrEqualTo(across * 5 / 3 + STEP_MILLIS);
			assertThat(end).isLessThanOrEqualTo(Math.max(best, across * 5 / 3) + STEP_MILLIS);
		}
	}

	@Test
	void aGangWaitsForTwoSecondsAtMostBesideAnIdleFleet() {
		WaitingGang gang = new WaitingGang(GAIN_MILLIS, OptionalLong.of(1_000), 1_999, true);
		assertThat(RackWait.of(gang)).isEqualTo(RackWait.WAITING);
		assertThat(RackWait.of(new WaitingGang(GAIN_MILLIS, OptionalLong.of(1_000), 2_000, true)))
			.isEqualTo(RackWait.FLEET_IDLE);
		assertThat(RackWait.of(new WaitingGang(GAIN_MILLIS, OptionalLong.of(9_000), 0, true)))
			.isEqualTo(RackWait.FLEET_IDLE);
	}

	// Guards against a service that waits for a rack: its tasks have no end that one rack
	// could bring forward.
	@Test
	void aGangWithoutAnEndDoesNotWait() {
		WaitingGang gang = new WaitingGang(0, OptionalLong.of(0), 0, false);
		assertThat(RackWait.of(gang)).isEqualTo(RackWait.NO_RACK_IN_TIME);
	}

	@Test
	void aGangDoesNotWaitWhereNoRackIsExpectedToBeFree() {
		WaitingGang gang = new WaitingGang(GAIN_MILLIS, OptionalLong.empty(), 0, false);
		assertThat(RackWait.of(gang)).isEqualTo(RackWait.NO_RACK_IN_TIME);
	}

	private static long end(long runMillis, long rackFreeAt, Estimate estimate) {
		for (long now = 0; now < rackFreeAt; now += STEP_MILLIS) {
			long gainMillis = (long) (runMillis * (SLOWDOWN - 1));
			WaitingGang gang = new WaitingGang(gainMillis, estimate.delayAt(now), now, false);
			if (!RackWait.of(gang).waits()) {
				return now + (long) (runMillis * SLOWDOWN);
			}
		}
		return rackFreeAt + runMillis;
	}

	/**
	 * Estimates when a rack is free.
	 */
	private interface Estimate {

		OptionalLong delayAt(long now);

	}

}
