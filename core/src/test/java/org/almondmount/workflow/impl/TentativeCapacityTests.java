package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the shortcuts that keep a placement round fast with a full fleet and a long
 * backlog, where nearly every waiting unit is checked for whether it fits. Their results
 * have to equal those of placing the tasks one by one.
 */
class TentativeCapacityTests {

	private static final JobQueue QUEUE = new JobQueue("q", "h", "/", "pool", 1, 2, 3, 1_000, false, false);

	private static final ResourceAmount CAPACITY = new ResourceAmount(32_000, 128_000, 8);

	private static final long NOW = 50_000;

	private int jobCount;

	static LongStream seeds() {
		return LongStream.range(0, 200);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void unitFitsExactlyWhenItsTasksCanBePlacedOneByOne(long seed) {
		Random random = new Random(seed);
		List<Worker> workers = workers(random);
		for (int i = 0; i < 20; i++) {
			WorkUnit unit = unit(random, workers);
			boolean fits = Placer.fillInOrder(unit, workers, TentativeCapacity.available()).isPresent();
			assertThat(TentativeCapacity.available().canPlaceAll(workers, unit)).isEqualTo(fits);
		}
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void reservationWaitsForTheFirstRunEndAfterWhichTheUnitFits(long seed) {
		Random random = new Random(seed);
		List<Worker> workers = workers(random);
		for (int i = 0; i < 20; i++) {
			WorkUnit unit = unit(random, workers);
			Optional<Reservation> found = Reservation.earliest(NOW, unit, List.of(workers));
			assertThat(found.map(Reservation::delayMillis)).isEqualTo(firstFittingEndByLinearSearch(unit, workers));
		}
	}

	private static Optional<Long> firstFittingEndByLinearSearch(WorkUnit unit, List<Worker> workers) {
		List<Run> byEnd = new ArrayList<>();
		workers.forEach((worker) -> byEnd.addAll(worker.runs()));
		byEnd.sort(Comparator.comparingLong((run) -> run.remainingMillis(NOW)));
		for (int ended = 1; ended <= byEnd.size(); ended++) {
			TentativeCapacity capacity = TentativeCapacity.available();
			byEnd.subList(0, ended).forEach((run) -> capacity.release(run.worker(), run.allocation()));
			Optional<Map<TaskState, Worker>> placement = Placer.fillInOrder(unit, workers, capacity);
			if (placement.isPresent()) {
				return Optional.of(byEnd.get(ended - 1).remainingMillis(NOW));
			}
		}
		return Optional.empty();
	}

	private List<Worker> workers(Random random) {
		List<Worker> workers = new ArrayList<>();
		for (int number = 0; number < 1 + random.nextInt(6); number++) {
			WorkerIncarnation incarnation = new WorkerIncarnation("w" + number, 1);
			Worker worker = new Worker("t" + number, incarnation, 0);
			worker.describe(NOW, new WorkerDescription(incarnation, "pool", "z", Set.of("r1-1"), CAPACITY, false, 0));
			fill(random, worker);
			workers.add(worker);
		}
		return workers;
	}

	private void fill(Random random, Worker worker) {
		for (int i = 0; i < random.nextInt(6); i++) {
			TaskState task = step(random, 1).tasks().get(0);
			Run run = new Run(task, 1, worker, 1, Run.State.START_SENT);
			if (run.allocation().fitsIn(worker.free())) {
				run.recordProgress(NOW, random.nextInt(100));
				worker.add(run);
			}
		}
	}

	private WorkUnit unit(Random random, List<Worker> workers) {
		StepState step = step(random, 1 + random.nextInt(8));
		DeadlineEstimate deadline = new DeadlineEstimate(Timeliness.IN_TIME, NOW, 1);
		return new WorkUnit(QUEUE, step, step.tasks(), workers, deadline, false, IsolationLevel.NONE);
	}

	private StepState step(Random random, int count) {
		Step.Placement placement = new Step.Placement("", "", false, random.nextInt(3));
		boolean fillsIdle = random.nextInt(6) == 0;
		long latencyTarget = (random.nextInt(6) == 0) ? 50 : 0;
		Step.ServiceSpec terms = new Step.ServiceSpec(false, "image", latencyTarget, fillsIdle, 0);
		ResourceAmount demand = new ResourceAmount(1_000L * random.nextInt(20), 1_000L * random.nextInt(60),
				random.nextInt(5));
		Step spec = new Step(count, demand, 1_000L * (1 + random.nextInt(20)), List.of(), false, true, placement, false,
				terms);
		Workflow job = new Workflow("job" + ++this.jobCount, "q", "c", "p", List.of(spec), Workflow.Schedule.ONCE, 0);
		return new JobState(job).step(0, 0);
	}

}
