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
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.sharing.SharedOrder;

/**
 * Decides which units start now, on which workers, and which runs are preempted for them.
 * Owned by the scheduler.
 */
final class PlacementRound {

	/**
	 * Maximum number of reservations, made for the first units that do not fit. More
	 * would leave workers idle on the basis of estimates.
	 */
	private static final int MAX_RESERVATIONS = 2;

	/**
	 * Maximum work that may be lost by preemption for an urgent job beyond its guarantee,
	 * as a multiple of the job's own work. An urgent result is worth about three times as
	 * much to its caller as the same work of the next queue, and the preempted work is
	 * delayed in addition.
	 */
	private static final double MAX_PREEMPTION_COST_RATIO = 2.0;

	/**
	 * Work that is lost by preemption even if the urgent job would be in time without it,
	 * as a fraction of the job's own work.
	 */
	private static final double NEGLIGIBLE_COST_RATIO = 0.1;

	/**
	 * Time in milliseconds after the start of a term during which no run is preempted:
	 * targets connect to a new holder one after the other, and capacity that is not yet
	 * known looks like missing capacity.
	 */
	private static final long PREEMPTION_DELAY_MILLIS = 1_000;

	/**
	 * The same delay for guaranteed work, in milliseconds. It does not wait for the last
	 * targets, because a guarantee has a time limit of its own, part of which is taken by
	 * stopping the preempted runs.
	 */
	private static final long GUARANTEE_PREEMPTION_DELAY_MILLIS = 300;

	private final SchedulerState state;

	private final RunLifecycle runLifecycle;

	private final RetryPlanner retryPlanner;

	private final PendingUnits pendingUnits;

	private final Placer placer;

	private final PreemptionPlanner preemptionPlanner;

	private final CustomerSharing sharing;

	private final RackWaitPlanner rackWaits;

	private final List<Reservation> reservations = new ArrayList<>();

	/**
	 * Steps of which one task did not fit in this round, so that the other tasks do not
	 * fit either.
	 */
	private final Set<StepState> unplaceableSteps = new HashSet<>();

	/**
	 * Placements whose capacity is being freed by preemption, by the first task of the
	 * unit for which it is freed.
	 */
	private final Map<TaskState, Map<TaskState, Worker>> preemptedPlacements = new LinkedHashMap<>();

	PlacementRound(SchedulerState state, RunLifecycle runLifecycle) {
		this.state = state;
		this.runLifecycle = runLifecycle;
		this.retryPlanner = new RetryPlanner(state);
		this.pendingUnits = new PendingUnits(state, this.retryPlanner);
		this.sharing = new CustomerSharing(state);
		this.placer = new Placer(state.policy(), state::steadyMillis, state::speedProfile);
		this.preemptionPlanner = new PreemptionPlanner(this.placer);
		this.rackWaits = new RackWaitPlanner(state, this.placer);
	}

	void clear() {
		this.preemptedPlacements.clear();
	}

	/** Starts all units that can be started. */
	void run() {
		if (this.state.epoch() == 0) {
			return;
		}
		List<WorkUnit> units = this.pendingUnits.inPlacementOrder();
		Set<TaskState> firstTasks = units.stream().map(WorkUnit::firstTask).collect(Collectors.toSet());
		this.preemptedPlacements.keySet().retainAll(firstTasks);
		this.reservations.clear();
		this.unplaceableSteps.clear();
		this.retryPlanner.beginRound();
		SharedOrder<WorkUnit> order = this.sharing.beginRound(units);
		while (order.hasNext()) {
			WorkUnit unit = order.next();
			if (!this.unplaceableSteps.contains(unit.step())) {
				tryPlace(unit, order.overtaker());
			}
		}
	}

	private void tryPlace(WorkUnit unit, Optional<String> overtaker) {
		boolean roomIsFreed = this.preemptedPlacements.containsKey(unit.firstTask());
		if (!roomIsFreed && this.retryPlanner.triesUsedUp(unit)) {
			return;
		}
		Optional<WorkUnit> restricted = this.retryPlanner.restrict(unit, () -> capacityFor(unit));
		if (restricted.isEmpty()) {
			this.preemptedPlacements.remove(unit.firstTask());
		}
		if (restricted.isEmpty() || !place(restricted.get(), unit, overtaker)) {
			this.retryPlanner.countFailedTry(unit);
		}
	}

	private boolean place(WorkUnit unit, WorkUnit unrestricted, Optional<String> overtaker) {
		Optional<Map<TaskState, Worker>> found = find(unit);
		if (found.isPresent()) {
			start(unit, found.get());
			return true;
		}
		if (!isPreemptedPlacementUsable(unit)) {
			this.preemptedPlacements.remove(unit.firstTask());
		}
		boolean waitsForBetterWorkers = unit != unrestricted && find(unrestricted).isPresent();
		if (!waitsForBetterWorkers && !this.preemptedPlacements.containsKey(unit.firstTask())) {
			tryPreempt(unit);
		}
		if (this.preemptedPlacements.containsKey(unit.firstTask())) {
			return false;
		}
		Optional<Map<TaskState, Worker>> acrossRacks = this.rackWaits.endWait(unit, () -> capacityFor(unit));
		if (acrossRacks.isPresent()) {
			start(unit, acrossRacks.get());
			return true;
		}
		overtaker.ifPresent((other) -> this.sharing.explainWait(unit, other));
		boolean worthReserving = this.state.has(SchedulerFeature.RESERVE_ROOM)
				&& !unit.deadline().timeliness().waitsBehindAll();
		if (worthReserving && this.reservations.size() < MAX_RESERVATIONS) {
			reserve(unit, unrestricted);
			return false;
		}
		if (unit == unrestricted && !unit.guaranteed()) {
			this.unplaceableSteps.add(unit.step());
		}
		return false;
	}

	private void start(WorkUnit unit, Map<TaskState, Worker> placement) {
		this.preemptedPlacements.remove(unit.firstTask());
		unit.step().rackWaitTimer().reset();
		this.runLifecycle.open(unit, placement);
		this.sharing.onPlaced(unit);
	}

	private Optional<Map<TaskState, Worker>> find(WorkUnit unit) {
		return this.placer.place(unit, unit.workers(), () -> capacityFor(unit))
			.or(() -> placeOnPreemptedCapacity(unit));
	}

	// A worker that is paused for a moment will be usable again, so the unit keeps the
	// place that is being freed for it there. If all runs in its way have ended and it
	// still does not fit, no further end makes room for it.
	private boolean isPreemptedPlacementUsable(WorkUnit unit) {
		Map<TaskState, Worker> preempted = this.preemptedPlacements.get(unit.firstTask());
		if (preempted == null || preempted.values().stream().anyMatch(this.state::isLeaving)) {
			return false;
		}
		return preempted.values()
			.stream()
			.anyMatch((worker) -> !this.state.canStartOn(worker) || worker.runs().stream().anyMatch(Run::stopping));
	}

	// Capacity that was freed across several racks is not found by a search that
	// considers only complete racks.
	private Optional<Map<TaskState, Worker>> placeOnPreemptedCapacity(WorkUnit unit) {
		Map<TaskState, Worker> preempted = this.preemptedPlacements.get(unit.firstTask());
		if (preempted == null) {
			return Optional.empty();
		}
		List<Worker> workers = preempted.values().stream().distinct().filter(unit.workers()::contains).toList();
		return Placer.fillInOrder(unit, workers, capacityFor(unit));
	}

	// A gang that needs nearly the whole fleet would keep all of it idle until the last
	// run that is in its way ends, and all other callers would wait although workers are
	// free. Capacity is therefore reserved only once half of the fleet is in use; until
	// then, work that fits takes it.
	private void reserve(WorkUnit unit, WorkUnit unrestricted) {
		if (unrestricted.isHalfOfWorkersUsed()) {
			earliestReservation(unit).ifPresent(this.reservations::add);
		}
	}

	// A gang that is slow across racks reserves a rack only if it ends sooner there.
	private Optional<Reservation> earliestReservation(WorkUnit unit) {
		List<Worker> workers = this.placer.offered(unit);
		Optional<Reservation> anywhere = Reservation.earliest(this.state.steadyMillis(), unit, List.of(workers));
		if (anywhere.isEmpty() || !this.placer.requiresOneRack(unit, workers)) {
			return anywhere;
		}
		long latestMillis = anywhere.get().delayMillis() + RackWaitPlanner.gainMillis(unit);
		return Reservation.earliest(this.state.steadyMillis(), unit, this.placer.racks(unit, workers))
			.filter((inOneRack) -> inOneRack.delayMillis() < latestMillis)
			.or(() -> anywhere);
	}

	// Workers report one after the other when a term begins. Without the delay, runs
	// would be stopped for a job that finds free workers a moment later.
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

	// In a burst of urgent jobs the fleet may be full of work that is not urgent. Runs
	// that have just begun or that save checkpoints lose little by preemption. Runs are
	// preempted only if all tasks of the step fit afterwards: one task in time does not
	// help a job whose other tasks wait. Stopping runs takes time as well, so a short job
	// gains nothing by it. Retries may use other workers and are planned for one by one.
	private void preemptBeyondGuarantee(WorkUnit unit) {
		boolean stopsInTime = this.state.wallMillis() + this.state.policy().stopTimeoutMillis() <= unit.deadline()
			.latestStartMillis();
		if (!stopsInTime) {
			return;
		}
		WorkUnit unplacedTasks = unit.withTasks(unit.step()
			.tasks()
			.stream()
			.filter((task) -> needsPlacement(task) && this.retryPlanner.sharesWorkers(unit, task))
			.toList());
		double ownCoreSeconds = DeadlineEstimate.coreSeconds(unit.step(), unplacedTasks.tasks().size());
		plan(unplacedTasks, (run) -> isPreemptible(run) && canRestartInTime(run, unit.step().expectedMillis()))
			.filter((plan) -> plan.cost() <= ownCoreSeconds * MAX_PREEMPTION_COST_RATIO)
			.filter((plan) -> plan.cost() <= ownCoreSeconds * NEGLIGIBLE_COST_RATIO
					|| !fitsInTimeWithoutPreemption(unplacedTasks))
			.ifPresent((plan) -> preempt(unplacedTasks, plan));
	}

	// Many runs end by themselves within the second or two that an urgent job can wait.
	// If they do not, there is still time to preempt them.
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

	// A guarantee is reclaimed at any cost, so the costs are compared first: clearing one
	// rack may lose many times the work that a gang loses by running slowly across racks.
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
		return this.preemptionPlanner.plan(this.state.steadyMillis(), unit, this.placer.offered(unit),
				() -> capacityFor(unit), preemptible);
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

	// Used when urgent work of other customers has taken all capacity beyond their own
	// guarantees.
	private boolean isBeyondGuarantee(Run run) {
		StepState step = run.task().step();
		return !this.pendingUnits.isGuaranteed(step.job()) && step.spec().service().maxUnavailable() == 0;
	}

	private boolean isPreemptible(Run run) {
		StepState step = run.task().step();
		boolean urgent = this.state.queueOf(step.job()).map(JobQueue::urgent).orElse(false);
		return !urgent && step.spec().service().maxUnavailable() == 0;
	}

	// A run that is started again after the work that preempted it has ended must still
	// be in time.
	private boolean canRestartInTime(Run run, long delayMillis) {
		StepState step = run.task().step();
		long restartMillis = this.state.wallMillis() + this.state.policy().stopTimeoutMillis() + delayMillis;
		return this.state.queueOf(step.job())
			.map((queue) -> restartMillis <= DeadlineEstimate.latestStart(queue, step, PendingUnits.dueMillis(step), 1))
			.orElse(false);
	}

	// Capacity that was freed for one unit is not available to any other unit.
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
