package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.LongStream;

import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.WorkflowScheduler.ClockReading;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the reclaim of a guarantee: on any fleet the search by gangs has to find a plan
 * whenever the search worker by worker does, and the plan has to make room for all tasks.
 */
class PreemptionPlannerTests {

	/** Its objective is so long that no result becomes late. */
	private static final JobQueue QUEUE = new JobQueue("q", "h", "/", "pool", 1, 2, 1_000, 0, false, false);

	private static final ResourceAmount CAPACITY = new ResourceAmount(128_000, 524_288, 8);

	private static final long NOW = 50_000;

	private final PreemptionPlanner byGroup = planner(SchedulerPolicy.DEFAULT);

	private final PreemptionPlanner byWorker = planner(
			SchedulerPolicy.DEFAULT.without(SchedulerFeature.LIMIT_PREEMPTION));

	private int jobCount;

	static LongStream seeds() {
		return LongStream.range(0, 300);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void planIsFoundWheneverWorkerByWorkerAndIsNeverDearer(long seed) {
		Random random = new Random(seed);
		List<Worker> workers = fullFleet(random, 1 + random.nextInt(12));
		Predicate<Run> preemptible = (run) -> run.task().step().job().id().hashCode() % 5 != 0;
		for (int i = 0; i < 10; i++) {
			WorkUnit unit = unit(random, workers);
			Optional<PreemptionPlanner.Plan> expected = plan(this.byWorker, unit, preemptible);
			Optional<PreemptionPlanner.Plan> found = plan(this.byGroup, unit, preemptible);
			assertThat(found.isPresent()).isEqualTo(expected.isPresent());
			found.ifPresent((plan) -> {
				assertThat(plan.cost()).isLessThanOrEqualTo(expected.get().cost() + 1e-6);
				assertThat(plan.victims()).allMatch((run) -> run.stopping() || preemptible.test(run));
				requireRoom(unit, plan);
			});
		}
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void jobThatWasPreemptedBeforeIsAVictimOnlyWhereNoPlanDoesWithoutIt(long seed) {
		Random random = new Random(seed);
		List<Worker> workers = fullFleet(random, 1 + random.nextInt(12));
		for (Worker worker : workers) {
			worker.runs().forEach((run) -> preemptSome(run.task().step()));
		}
		WorkUnit unit = unit(random, workers);
		Optional<PreemptionPlanner.Plan> sparing = plan(this.byWorker, unit,
				(run) -> run.task().step().job().preemptionCount() == 0);
		Optional<PreemptionPlanner.Plan> found = plan(this.byGroup, unit, (run) -> true);
		assertThat(found.isPresent()).isEqualTo(plan(this.byWorker, unit, (run) -> true).isPresent());
		if (!unit.prefersOneRack()) {
			found.ifPresent((plan) -> assertThat(plan.repeatsPreemption()).isEqualTo(sparing.isEmpty()));
		}
	}

	private static Optional<PreemptionPlanner.Plan> plan(PreemptionPlanner planner, WorkUnit unit,
			Predicate<Run> preemptible) {
		return planner.plan(unit, unit.workers(), TentativeCapacity::available, preemptible);
	}

	private static void preemptSome(StepState step) {
		if (step.job().id().hashCode() % 2 == 0) {
			step.tasks().forEach((task) -> step.job().countPreemptedRun(step));
		}
	}

	private static void requireRoom(WorkUnit unit, PreemptionPlanner.Plan plan) {
		assertThat(plan.placement().keySet()).containsExactlyInAnyOrderElementsOf(unit.tasks());
		TentativeCapacity capacity = TentativeCapacity.available();
		for (Worker worker : unit.workers()) {
			worker.runs()
				.stream()
				.filter((run) -> run.stopping() || plan.victims().contains(run))
				.forEach((run) -> capacity.release(worker, run.allocation()));
		}
		plan.placement().values().forEach((worker) -> {
			assertThat(capacity.canPlace(worker, unit)).isTrue();
			capacity.place(worker, unit);
		});
	}

	private static PreemptionPlanner planner(SchedulerPolicy policy) {
		SchedulerState state = new SchedulerState(policy);
		state.configuration(new FleetConfiguration(1, List.of(QUEUE), List.of("pool"),
				List.of(new FleetCustomer("large", Set.of(), 32), new FleetCustomer("small", Set.of(), 8))));
		state.now(new ClockReading(NOW, NOW));
		return new PreemptionPlanner(state, new Placer(policy, state::steadyMillis, state::speedProfile));
	}

	private List<Worker> fullFleet(Random random, int count) {
		List<Worker> workers = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			WorkerIncarnation incarnation = new WorkerIncarnation("w" + number, 1);
			Worker worker = new Worker("t" + number, incarnation, 0);
			worker.describe(NOW,
					new WorkerDescription(incarnation, "pool", "z", Set.of("r1-" + number / 4), CAPACITY, false, 0));
			workers.add(worker);
		}
		for (int job = 0; job < 12 * count; job++) {
			boolean gang = random.nextInt(4) == 0;
			ResourceAmount demand = new ResourceAmount(1_000L * random.nextInt(20), 1_000L * random.nextInt(60),
					gang ? 1 + random.nextInt(8) : 1);
			fill(random, step(gang ? 1 + random.nextInt(8) : 1, demand, 7_000, random.nextInt(100) < 45, gang),
					workers);
		}
		return workers;
	}

	private static void fill(Random random, StepState step, List<Worker> workers) {
		long startedMillis = NOW - random.nextInt(7_000);
		boolean stopping = random.nextInt(20) == 0;
		for (TaskState task : step.tasks()) {
			Worker worker = workers.get(random.nextInt(workers.size()));
			if (step.spec().allocation().fitsIn(worker.free())) {
				Run run = new Run(task, 1, worker, 1, Run.State.START_SENT);
				run.recordProgress(startedMillis, 0);
				run.markWorking(startedMillis);
				task.openRuns().add(run);
				worker.add(run);
				if (stopping) {
					run.markStopping(WorkOutcome.GAVE_WAY);
				}
			}
		}
	}

	private WorkUnit unit(Random random, List<Worker> workers) {
		ResourceAmount demand = new ResourceAmount(1_000L * random.nextInt(20), 1_000L * random.nextInt(60),
				random.nextInt(9));
		return unit(step(1 + random.nextInt(14), demand, 2_000, false, true), workers);
	}

	private static WorkUnit unit(StepState step, List<Worker> workers) {
		DeadlineEstimate deadline = new DeadlineEstimate(Timeliness.IN_TIME, NOW, 1);
		return new WorkUnit(QUEUE, step, step.tasks(), workers, deadline, true, IsolationLevel.NONE);
	}

	private StepState step(int count, ResourceAmount demand, long millis, boolean savesCheckpoints, boolean gang) {
		int number = ++this.jobCount;
		Step spec = new Step(count, demand, millis, List.of(), savesCheckpoints, gang,
				new Step.Placement("", "", gang && number % 2 == 0, number % 3), false, Step.ServiceSpec.NONE);
		return new JobState(new Workflow("job" + number, "q", "c", "p", List.of(spec), Workflow.Schedule.ONCE, NOW))
			.step(0, 0);
	}

}
