package org.almondmount.workflow.speed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class SpeedProfileTests {

	@Test
	void workersOfTwoSpeedsAreDivided() {
		List<WorkerSpeed> workers = speeds(550, 560, 1_200, 1_150, 1_250, 1_190);
		SpeedProfile profile = SpeedProfile.of(workers);
		assertThat(profile.isUneven()).isTrue();
		assertThat(workers.stream().map(profile::isFast)).containsExactly(true, true, false, false, false, false);
	}

	@Test
	void workersThatDifferByHalfCountAsAlike() {
		assertThat(SpeedProfile.of(speeds(800, 800, 1_000, 1_000, 1_250, 1_250)).isUneven()).isFalse();
	}

	// Guards against a single worker that is taken for fast by mistake, or that is slow
	// for a while.
	@Test
	void oneWorkerOfManyDoesNotMakeTheFleetUneven() {
		int[] runMillis = new int[20];
		Arrays.fill(runMillis, 1_000);
		runMillis[7] = 200;
		assertThat(SpeedProfile.of(speeds(runMillis)).isUneven()).isFalse();
	}

	@Test
	void workerThatNothingIsKnownOfIsNotFast() {
		List<WorkerSpeed> workers = speeds(500, 500, 1_200, 1_200, 1_200);
		WorkerSpeed unknown = new WorkerSpeed();
		workers.add(unknown);
		SpeedProfile profile = SpeedProfile.of(workers);
		assertThat(profile.isUneven()).isTrue();
		assertThat(profile.isFast(unknown)).isFalse();
	}

	@Test
	void workerThatTurnsSlowIsNotFastAfterAFewRuns() {
		List<WorkerSpeed> workers = speeds(500, 500, 1_200, 1_200, 1_200);
		for (int run = 0; run < 4; run++) {
			workers.get(0).record(Math.log(5));
		}
		SpeedProfile profile = SpeedProfile.of(workers);
		assertThat(profile.isFast(workers.get(0))).isFalse();
		assertThat(profile.isFast(workers.get(1))).isTrue();
	}

	// Guards against taking the differences between the tasks of a step for those of
	// their workers.
	@Test
	void likeTasksOfUnlikeLengthDoNotMakeTheFleetUneven() {
		Random random = new Random(3);
		List<WorkerSpeed> workers = new ArrayList<>();
		for (int worker = 0; worker < 40; worker++) {
			workers.add(new WorkerSpeed());
		}
		for (int step = 0; step < 3; step++) {
			StepRunTimes runTimes = new StepRunTimes();
			workers.forEach(
					(worker) -> runTimes.record(worker, Math.round(9_000 * Math.exp(0.3 * random.nextGaussian()))));
		}
		assertThat(SpeedProfile.of(workers).isUneven()).isFalse();
	}

	@Test
	void tasksOfAStepAreComparedOnceThereAreEnough() {
		WorkerSpeed fast = new WorkerSpeed();
		StepRunTimes runTimes = new StepRunTimes();
		assertThat(runTimes.record(fast, 500)).isFalse();
		for (int worker = 0; worker < 3; worker++) {
			assertThat(runTimes.record(new WorkerSpeed(), 1_000)).isFalse();
		}
		assertThat(runTimes.record(new WorkerSpeed(), 1_000)).isTrue();
		assertThat(fast.slowness()).isCloseTo(Math.log(0.5), within(0.01));
		assertThat(fast.isKnown()).isFalse();
	}

	private static List<WorkerSpeed> speeds(int... runMillis) {
		List<WorkerSpeed> speeds = new ArrayList<>();
		for (int millis : runMillis) {
			WorkerSpeed speed = new WorkerSpeed();
			for (int run = 0; run < 3; run++) {
				speed.record(Math.log(millis / 1_000.0));
			}
			speeds.add(speed);
		}
		return speeds;
	}

}
