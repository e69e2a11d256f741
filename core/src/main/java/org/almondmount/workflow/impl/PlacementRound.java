package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.WorkOutcome;

/**
 * Decides what starts now, where, and what gives way to it. Owned by the scheduler.
 */
final class PlacementRound {

	/** The first units that do not fit; more would leave the fleet idle for guesses. */
	private static final int MAX_RESERVATIONS = 2;

	/** Part of the fleet's room that may stand idle beside work that would fit. */
	private static final double MAX_RESERVED_SHARE = 0.5;

	/**
	 * Work that an urgent job beyond its guarantee may have thrown away, in parts of its
	 * own. An urgent result is worth about three times as much to its caller as the same
	 * work of the next queue, and what gives way waits for it besides.
	 */
	private static final double MAX_PREEMPTION_COST_RATIO = 2.0;

	/**
	 * Work that is thrown away rather than have an urgent caller wait, in parts of the
	 * urgent job's own.
	 */
	private static final double NEGLIGIBLE_COST_RATIO = 0.1;

	/**
	 * Nothing gives way so early in a term, in milliseconds: targets come to a new holder
	 * one after the other, and room that is not known yet looks like no room.
	 */
	private static final long PREEMPTION_DELAY_MILLIS = 1_000;

	/**
	 * A guarantee does not wait for the last of them, in milliseconds: it has a bound of
	 * its own, of which a stop takes a part.
	 */
	private static final long GUARANTEE_PREEMPTION_DELAY_MILLIS = 300;

	private final SchedulerState state;

	private final RunLifecycle runLifecycle;

	private final PendingUnits pendingUnits;

	private final Placer placer;

	private final PreemptionPlanner preemptionPlanner;

	private final List<Reservation> reservations = new ArrayList<>();

	/** Steps of which a task found no room in this round: the others find none either. */
	private final Set<StepState> unplaceableSteps = new HashSet<>();

	/**
	 * Room that is being cleared, by the first task of the unit that it is cleared for.
	 */
	private final Map<TaskState, Map<TaskState, Worker>> preemptedPlacements = new LinkedHashMap<>();

	PlacementRound(SchedulerState state, RunLifecycle runLifecycle) {
		this.state = state;
		this.runLifecycle = runLifecycle;
		this.pendingUnits = new PendingUnits(state);
		this.placer = new Placer(state.policy(), state::steadyMillis);
		this.preemptionPlanner = new PreemptionPlanner(this.placer);
	}

	void clear() {
		this.preemptedPlacements.clear();
	}

	/** Starts what can be started. */
	void run() {
		if (this.state.epoch() == 0) {
			return;
		}
		List<WorkUnit> units = this.pendingUnits.inPlacementOrder();
		Set<TaskState> firstTasks = units.stream().map(WorkUnit::firstTask).collect(Collectors.toSet());
		this.preemptedPlacements.keySet().retainAll(firstTasks);
		this.reservations.clear();
		this.unplaceableSteps.clear();
		for (WorkUnit unit : units) {
			if (!this.unplaceableSteps.contains(unit.step())) {
				place(unit);
			}
		}
	}

	private void place(WorkUnit unit) {
		Optional<Map<TaskState, Worker>> found = this.placer.place(unit, unit.workers(), () -> capacityFor(unit))
			.or(() -> placeOnPreemptedCapacity(unit));
		if (found.isPresent()) {
			this.preemptedPlacements.remove(unit.firstTask());
			this.runLifecycle.open(unit, found.get());
			return;
		}
		if (!this.preemptedPlacements.containsKey(unit.firstTask())) {
			tryPreempt(unit);
		}
		if (this.preemptedPlacements.containsKey(unit.firstTask())) {
			return;
		}
		boolean worthReserving = this.state.has(SchedulerFeature.RESERVE_ROOM)
				&& !unit.deadline().timeliness().waitsBehindAll();
		if (worthReserving && this.reservations.size() < MAX_RESERVATIONS) {
			reserve(unit);
			return;
		}
		if (!unit.guaranteed()) {
			this.unplaceableSteps.add(unit.step());
		}
	}

	// Room that was cleared over several racks is not found where only whole racks are
	// looked at.
	private Optional<Map<TaskState, Worker>> placeOnPreemptedCapacity(WorkUnit unit) {
		Map<TaskState, Worker> preempted = this.preemptedPlacements.get(unit.firstTask());
		if (preempted == null) {
			return Optional.empty();
		}
		List<Worker> workers = preempted.values().stream().distinct().filter(unit.workers()::contains).toList();
		return Placer.fillInOrder(unit, workers, capacityFor(unit));
	}

	private void reserve(WorkUnit unit) {
		if (isHalfOfFleetUsed(unit)) {
			earliestReservation(unit).ifPresent(this.reservations::add);
		}
	}

	// A gang that is nearly as wide as the fleet would keep all of it idle until the last
	// run ends that stands in its way, and every other caller would wait before free
	// workers. Work that fits takes them until half of the fleet is in use.
	private static boolean isHalfOfFleetUsed(WorkUnit unit) {
		ResourceAmount total = ResourceAmount.NONE;
		ResourceAmount free = ResourceAmount.NONE;
		for (Worker worker : unit.workers()) {
			total = total.plus(worker.capacity());
			free = free.plus(worker.free());
		}
		return total.minus(free).dominantShareOf(total) >= 1 - MAX_RESERVED_SHARE;
	}

	private Optional<Reservation> earliestReservation(WorkUnit unit) {
		List<Worker> workers = unit.workers();
		boolean oneRack = this.placer.requiresOneRack(unit, workers);
		List<List<Worker>> choices = oneRack ? this.placer.racks(unit, workers) : List.of(workers);
		return Reservation.earliest(this.state.steadyMillis(), unit, choices);
	}

	// Workers tell of themselves one after the other when a term begins. Runs would be
	// stopped for a job that finds free workers a moment later.
	private boolean isFleetKnown(WorkUnit unit) {
		return this.state
			.termAgeMillis() >= (unit.guaranteed() ? GUARANTEE_PREEMPTION_DELAY_MILLIS : PREEMPTION_DELAY_MILLIS);
	}

	private void tryPreempt(WorkUnit unit) {
		if (!isFleetKnown(unit)) {
			return;
		}
		if (unit.guaranteed()) {
			planForGuarantee(unit, this::isPreemptible).or(() -> planForGuarantee(unit, this::isBeyondGuarantee))
				.ifPresent((plan) -> preempt(unit, plan));
		}
		else if (this.state.has(SchedulerFeature.GIVE_WAY_TO_URGENT) && unit.queue().urgent()
				&& unit.deadline().timeliness() == Timeliness.IN_TIME) {
			preemptBeyondGuarantee(unit);
		}
	}

	// A burst of urgent jobs finds the fleet full of work that has time. What has just
	// begun or is saved loses little by making room, if all of the step's tasks fit then:
	// one task in time does not help a job whose other tasks wait. The stop itself takes
	// time, so that a short job gains nothing by it.
	private void preemptBeyondGuarantee(WorkUnit unit) {
		boolean stopsInTime = this.state.wallMillis() + this.state.policy().stopTimeoutMillis() <= unit.deadline()
			.latestStartMillis();
		if (!stopsInTime) {
			return;
		}
		WorkUnit unplacedTasks = unit.withTasks(unit.step().tasks().stream().filter(this::needsPlacement).toList());
		double ownCoreSeconds = DeadlineEstimate.coreSeconds(unit.step(), unplacedTasks.tasks().size());
		plan(unplacedTasks, (run) -> isPreemptible(run) && canRestartInTime(run, unit.step().expectedMillis()))
			.filter((plan) -> plan.cost() <= ownCoreSeconds * MAX_PREEMPTION_COST_RATIO)
			.filter((plan) -> plan.cost() <= ownCoreSeconds * NEGLIGIBLE_COST_RATIO
					|| !fitsInTimeWithoutPreemption(unplacedTasks))
			.ifPresent((plan) -> preempt(unplacedTasks, plan));
	}

	// Much of what runs ends by itself within the second or two that an urgent job can
	// wait. Should it not, there is still time for it to give way.
	private boolean fitsInTimeWithoutPreemption(WorkUnit unplacedTasks) {
		if (!this.state.has(SchedulerFeature.WAIT_BEFORE_GIVING_WAY)) {
			return false;
		}
		long slackMillis = unplacedTasks.deadline().latestStartMillis() - this.state.wallMillis()
				- this.state.policy().stopTimeoutMillis();
		return earliestReservation(unplacedTasks).map((found) -> found.delayMillis() <= slackMillis).orElse(false);
	}

	private boolean needsPlacement(TaskState task) {
		return task.idle() && !task.done() && !this.preemptedPlacements.containsKey(task);
	}

	// A guarantee is reclaimed at any price, so the price is looked at before: to clear a
	// rack may throw away many times the work that a gang loses by running slowly over
	// several ones.
	private Optional<PreemptionPlanner.Plan> planForGuarantee(WorkUnit unit, Predicate<Run> preemptible) {
		Optional<PreemptionPlanner.Plan> preferredPlan = plan(unit, preemptible);
		if (preferredPlan.isEmpty() || !this.placer.requiresOneRack(unit, unit.workers())) {
			return preferredPlan;
		}
		double slowdownCost = DeadlineEstimate.coreSeconds(unit.step(), unit.tasks().size())
				* (Placer.CROSS_RACK_SLOWDOWN - 1);
		return this.preemptionPlanner
			.planWithin(this.state.steadyMillis(), unit, unit.workers(), () -> capacityFor(unit), preemptible)
			.filter((acrossRacks) -> acrossRacks.cost() + slowdownCost < preferredPlan.get().cost())
			.or(() -> preferredPlan);
	}

	private Optional<PreemptionPlanner.Plan> plan(WorkUnit unit, Predicate<Run> preemptible) {
		return this.preemptionPlanner.plan(this.state.steadyMillis(), unit, unit.workers(), () -> capacityFor(unit),
				preemptible);
	}

	private void preempt(WorkUnit unit, PreemptionPlanner.Plan plan) {
		if (unit.gang()) {
			this.preemptedPlacements.put(unit.firstTask(), plan.placement());
		}
		else {
			plan.placement().forEach((task, worker) -> this.preemptedPlacements.put(task, Map.of(task, worker)));
		}
		this.state.explain("runs-give-way", "job", unit.step().job().id(), "step", unit.step().number(), "guaranteed",
				unit.guaranteed(), "victims", plan.victims().size(), "coreSeconds", Math.round(plan.cost()));
		plan.victims().forEach((run) -> this.runLifecycle.stop(run, WorkOutcome.GAVE_WAY));
	}

	// Where urgent work of other customers took all room beyond their own guarantees.
	private boolean isBeyondGuarantee(Run run) {
		StepState step = run.task().step();
		return !this.pendingUnits.isGuaranteed(step.job()) && step.spec().service().maxUnavailable() == 0;
	}

	private boolean isPreemptible(Run run) {
		StepState step = run.task().step();
		boolean urgent = this.state.queueOf(step.job()).map(JobQueue::urgent).orElse(false);
		return !urgent && step.spec().service().maxUnavailable() == 0;
	}

	// A run that starts anew after what it gave way to has ended must still be in time.
	private boolean canRestartInTime(Run run, long delayMillis) {
		StepState step = run.task().step();
		long restartMillis = this.state.wallMillis() + this.state.policy().stopTimeoutMillis() + delayMillis;
		return this.state.queueOf(step.job())
			.map((queue) -> restartMillis <= DeadlineEstimate.latestStart(queue, step, PendingUnits.dueMillis(step), 1))
			.orElse(false);
	}

	// Room that was cleared for one unit is not there for any other.
	private TentativeCapacity capacityFor(WorkUnit unit) {
		TentativeCapacity capacity = TentativeCapacity.available();
		this.preemptedPlacements.forEach((firstTask, placement) -> {
			if (firstTask != unit.firstTask()) {
				placement.forEach((task, worker) -> capacity.allocate(worker, firstTask.step().spec().allocation()));
			}
		});
		for (Reservation reservation : this.reservations) {
			if (unit.step().expectedMillis() > reservation.delayMillis()) {
				reservation.placement()
					.values()
					.forEach((worker) -> capacity.allocate(worker, reservation.unit().allocation()));
			}
		}
		return capacity;
	}

}
