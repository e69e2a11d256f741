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
	private static final int MOST_RESERVATIONS = 2;

	/** Part of the fleet's room that may stand idle beside work that would fit. */
	private static final double MOST_KEPT_IDLE = 0.5;

	/**
	 * Work that an urgent job beyond its guarantee may have thrown away, in parts of its
	 * own. An urgent result is worth about three times as much to its caller as the same
	 * work of the next queue, and what gives way waits for it besides.
	 */
	private static final double MOST_THROWN_AWAY = 2.0;

	/**
	 * Work that is thrown away rather than have an urgent caller wait, in parts of the
	 * urgent job's own.
	 */
	private static final double NEXT_TO_NOTHING = 0.1;

	/**
	 * Nothing gives way so early in a term, in milliseconds: targets come to a new holder
	 * one after the other, and room that is not known yet looks like no room.
	 */
	private static final long SETTLING_MILLIS = 1_000;

	/**
	 * A guarantee does not wait for the last of them, in milliseconds: it has a bound of
	 * its own, of which a stop takes a part.
	 */
	private static final long GUARANTEE_SETTLING_MILLIS = 300;

	private final SchedulerState state;

	private final RunLedger ledger;

	private final WaitingWork waiting;

	private final Placer placer;

	private final Preemption preemption;

	private final List<Reservation> reservations = new ArrayList<>();

	/** Steps of which a task found no room in this round: the others find none either. */
	private final Set<StepState> full = new HashSet<>();

	/**
	 * Room that is being cleared, by the first task of the unit that it is cleared for.
	 */
	private final Map<TaskState, Map<TaskState, Worker>> cleared = new LinkedHashMap<>();

	PlacementRound(SchedulerState state, RunLedger ledger) {
		this.state = state;
		this.ledger = ledger;
		this.waiting = new WaitingWork(state);
		this.placer = new Placer(state.policy(), state::steadyMillis);
		this.preemption = new Preemption(this.placer);
	}

	void clear() {
		this.cleared.clear();
	}

	/** Starts what can be started. */
	void run() {
		if (this.state.epoch() == 0) {
			return;
		}
		List<WorkUnit> units = this.waiting.inOrder();
		Set<TaskState> firsts = units.stream().map(WorkUnit::first).collect(Collectors.toSet());
		this.cleared.keySet().retainAll(firsts);
		this.reservations.clear();
		this.full.clear();
		for (WorkUnit unit : units) {
			if (!this.full.contains(unit.step())) {
				place(unit);
			}
		}
	}

	private void place(WorkUnit unit) {
		Optional<Map<TaskState, Worker>> found = this.placer.place(unit, unit.workers(), () -> roomFor(unit))
			.or(() -> whereRoomWasCleared(unit));
		if (found.isPresent()) {
			this.cleared.remove(unit.first());
			this.ledger.open(unit, found.get());
			return;
		}
		if (!this.cleared.containsKey(unit.first())) {
			makeRoom(unit);
		}
		if (this.cleared.containsKey(unit.first())) {
			return;
		}
		boolean worthKeepingRoom = this.state.has(SchedulerFeature.RESERVE_ROOM)
				&& !unit.outlook().timeliness().waitsBehindAll();
		if (worthKeepingRoom && this.reservations.size() < MOST_RESERVATIONS) {
			reserve(unit);
			return;
		}
		if (!unit.guaranteed()) {
			this.full.add(unit.step());
		}
	}

	// Room that was cleared over several racks is not found where only whole racks are
	// looked at.
	private Optional<Map<TaskState, Worker>> whereRoomWasCleared(WorkUnit unit) {
		Map<TaskState, Worker> cleared = this.cleared.get(unit.first());
		if (cleared == null) {
			return Optional.empty();
		}
		List<Worker> workers = cleared.values().stream().distinct().filter(unit.workers()::contains).toList();
		return Placer.fillInOrder(unit, workers, roomFor(unit));
	}

	private void reserve(WorkUnit unit) {
		if (halfOfTheFleetWorks(unit)) {
			earliest(unit).ifPresent(this.reservations::add);
		}
	}

	// A gang that is nearly as wide as the fleet would keep all of it idle until the last
	// run ends that stands in its way, and every other caller would wait before free
	// workers. Work that fits takes them until half of the fleet is in use.
	private static boolean halfOfTheFleetWorks(WorkUnit unit) {
		ResourceAmount whole = ResourceAmount.NONE;
		ResourceAmount free = ResourceAmount.NONE;
		for (Worker worker : unit.workers()) {
			whole = whole.plus(worker.capacity());
			free = free.plus(worker.free());
		}
		return whole.minus(free).dominantShareOf(whole) >= 1 - MOST_KEPT_IDLE;
	}

	private Optional<Reservation> earliest(WorkUnit unit) {
		List<Worker> workers = unit.workers();
		boolean oneRack = this.placer.goesInOneRack(unit, workers);
		List<List<Worker>> choices = oneRack ? this.placer.racks(unit, workers) : List.of(workers);
		return Reservation.earliest(this.state.steadyMillis(), unit, choices);
	}

	// Workers tell of themselves one after the other when a term begins. Runs would be
	// stopped for a job that finds free workers a moment later.
	private boolean knowsTheFleet(WorkUnit unit) {
		return this.state.termAgeMillis() >= (unit.guaranteed() ? GUARANTEE_SETTLING_MILLIS : SETTLING_MILLIS);
	}

	private void makeRoom(WorkUnit unit) {
		if (!knowsTheFleet(unit)) {
			return;
		}
		if (unit.guaranteed()) {
			planForGuarantee(unit, this::mayGiveWay).or(() -> planForGuarantee(unit, this::isBeyondGuarantee))
				.ifPresent((plan) -> giveWay(unit, plan));
		}
		else if (this.state.has(SchedulerFeature.GIVE_WAY_TO_URGENT) && unit.queue().urgent()
				&& unit.outlook().timeliness() == Timeliness.IN_TIME) {
			makeRoomBeyondGuarantee(unit);
		}
	}

	// A burst of urgent jobs finds the fleet full of work that has time. What has just
	// begun or is saved loses little by making room, if all of the step's tasks fit then:
	// one task in time does not help a job whose other tasks wait. The stop itself takes
	// time, so that a short job gains nothing by it.
	private void makeRoomBeyondGuarantee(WorkUnit unit) {
		boolean stopsInTime = this.state.wallMillis() + this.state.policy().stopTimeoutMillis() <= unit.outlook()
			.latestStartMillis();
		if (!stopsInTime) {
			return;
		}
		WorkUnit whole = unit.withTasks(unit.step().tasks().stream().filter(this::waitsWithoutRoom).toList());
		double own = Outlook.coreSeconds(unit.step(), whole.tasks().size());
		plan(whole, (run) -> mayGiveWay(run) && hasTimeToWait(run, unit.step().expectedMillis()))
			.filter((plan) -> plan.cost() <= own * MOST_THROWN_AWAY)
			.filter((plan) -> plan.cost() <= own * NEXT_TO_NOTHING || !fitsInTimeByItself(whole))
			.ifPresent((plan) -> giveWay(whole, plan));
	}

	// Much of what runs ends by itself within the second or two that an urgent job can
	// wait. Should it not, there is still time for it to give way.
	private boolean fitsInTimeByItself(WorkUnit whole) {
		if (!this.state.has(SchedulerFeature.WAIT_BEFORE_GIVING_WAY)) {
			return false;
		}
		long within = whole.outlook().latestStartMillis() - this.state.wallMillis()
				- this.state.policy().stopTimeoutMillis();
		return earliest(whole).map((found) -> found.inMillis() <= within).orElse(false);
	}

	private boolean waitsWithoutRoom(TaskState task) {
		return task.idle() && !task.done() && !this.cleared.containsKey(task);
	}

	// A guarantee is reclaimed at any price, so the price is looked at before: to clear a
	// rack may throw away many times the work that a gang loses by running slowly over
	// several ones.
	private Optional<Preemption.Plan> planForGuarantee(WorkUnit unit, Predicate<Run> mayGiveWay) {
		Optional<Preemption.Plan> asPlaced = plan(unit, mayGiveWay);
		if (asPlaced.isEmpty() || !this.placer.goesInOneRack(unit, unit.workers())) {
			return asPlaced;
		}
		double slowness = Outlook.coreSeconds(unit.step(), unit.tasks().size()) * (Placer.TIMES_ACROSS_RACKS - 1);
		return this.preemption
			.planWithin(this.state.steadyMillis(), unit, unit.workers(), () -> roomFor(unit), mayGiveWay)
			.filter((anywhere) -> anywhere.cost() + slowness < asPlaced.get().cost())
			.or(() -> asPlaced);
	}

	private Optional<Preemption.Plan> plan(WorkUnit unit, Predicate<Run> mayGiveWay) {
		return this.preemption.plan(this.state.steadyMillis(), unit, unit.workers(), () -> roomFor(unit), mayGiveWay);
	}

	private void giveWay(WorkUnit unit, Preemption.Plan plan) {
		if (unit.gang()) {
			this.cleared.put(unit.first(), plan.placement());
		}
		else {
			plan.placement().forEach((task, worker) -> this.cleared.put(task, Map.of(task, worker)));
		}
		this.state.explain("runs-give-way", "job", unit.step().job().id(), "step", unit.step().number(), "guaranteed",
				unit.guaranteed(), "victims", plan.victims().size(), "coreSeconds", Math.round(plan.cost()));
		plan.victims().forEach((run) -> this.ledger.stop(run, WorkOutcome.GAVE_WAY));
	}

	// Where urgent work of other customers took all room beyond their own guarantees.
	private boolean isBeyondGuarantee(Run run) {
		StepState step = run.task().step();
		return !this.waiting.isGuaranteed(step.job()) && step.spec().service().maxUnavailable() == 0;
	}

	private boolean mayGiveWay(Run run) {
		StepState step = run.task().step();
		boolean urgent = this.state.queueOf(step.job()).map(JobQueue::urgent).orElse(false);
		return !urgent && step.spec().service().maxUnavailable() == 0;
	}

	// A run that starts anew after what it gave way to has ended must still be in time.
	private boolean hasTimeToWait(Run run, long millis) {
		StepState step = run.task().step();
		long again = this.state.wallMillis() + this.state.policy().stopTimeoutMillis() + millis;
		return this.state.queueOf(step.job())
			.map((queue) -> again <= Outlook.latestStart(queue, step, WaitingWork.dueMillis(step), 1))
			.orElse(false);
	}

	// Room that was cleared for one unit is not there for any other.
	private Rooms roomFor(WorkUnit unit) {
		Rooms rooms = Rooms.free();
		this.cleared.forEach((first, placement) -> {
			if (first != unit.first()) {
				placement.forEach((task, worker) -> rooms.take(worker, first.step().spec().allocation()));
			}
		});
		for (Reservation reservation : this.reservations) {
			if (unit.step().expectedMillis() > reservation.inMillis()) {
				reservation.placement().values().forEach((worker) -> rooms.take(worker, reservation.unit().room()));
			}
		}
		return rooms;
	}

}
