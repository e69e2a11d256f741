package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.Workflow;

/**
 * Decides what starts now, where, and what gives way to it. Owned by the scheduler.
 */
final class PlacementRound {

	private static final int URGENT = 0;

	private final SchedulerState state;

	private final RunLedger ledger;

	private final Placer placer = new Placer();

	private final Preemption preemption = new Preemption(this.placer);

	/** The first units that do not fit; more would leave the fleet idle for guesses. */
	private static final int MOST_RESERVATIONS = 2;

	private final List<Reservation> reservations = new ArrayList<>();

	/**
	 * Room that is being cleared, by the first task of the unit that it is cleared for.
	 */
	private final Map<TaskState, Map<TaskState, Worker>> cleared = new LinkedHashMap<>();

	PlacementRound(SchedulerState state, RunLedger ledger) {
		this.state = state;
		this.ledger = ledger;
	}

	void clear() {
		this.cleared.clear();
	}

	/** Starts what can be started. */
	void run() {
		if (this.state.epoch() == 0) {
			return;
		}
		List<WorkUnit> units = waitingUnits();
		units.sort(Comparator.comparing((WorkUnit unit) -> !unit.guaranteed())
			.thenComparingInt((unit) -> unit.queue().priority())
			.thenComparing((unit) -> !unit.canBeInTime(this.state.wallMillis()))
			.thenComparingLong(WorkUnit::latestStartMillis));
		this.reservations.clear();
		this.cleared.keySet().removeIf((task) -> units.stream().noneMatch((unit) -> unit.first() == task));
		for (WorkUnit unit : units) {
			place(unit);
		}
	}

	private void place(WorkUnit unit) {
		List<Worker> workers = eligible(unit);
		if (workers.isEmpty()) {
			return;
		}
		Optional<Map<TaskState, Worker>> found = this.placer.place(unit, workers, () -> roomFor(unit));
		if (found.isPresent()) {
			this.cleared.remove(unit.first());
			this.ledger.open(unit, found.get());
			return;
		}
		if (unit.guaranteed() && !this.cleared.containsKey(unit.first())) {
			this.preemption.plan(this.state.steadyMillis(), unit, workers, () -> roomFor(unit), this::mayGiveWay)
				.ifPresent((plan) -> giveWay(unit, plan));
		}
		if (!this.cleared.containsKey(unit.first()) && this.reservations.size() < MOST_RESERVATIONS) {
			reserve(unit, workers);
		}
	}

	private void reserve(WorkUnit unit, List<Worker> workers) {
		boolean oneRack = this.placer.goesInOneRack(unit, workers);
		List<List<Worker>> choices = oneRack ? this.placer.racks(unit, workers) : List.of(workers);
		Reservation.earliest(this.state.steadyMillis(), unit, choices).ifPresent(this.reservations::add);
	}

	private void giveWay(WorkUnit unit, Preemption.Plan plan) {
		this.cleared.put(unit.first(), plan.placement());
		this.state.explain("runs-give-way", "job", unit.step().job().id(), "step", unit.step().number(), "victims",
				plan.victims().size(), "coreSeconds", Math.round(plan.cost()));
		plan.victims().forEach(this.ledger::stop);
	}

	private boolean mayGiveWay(Run run) {
		StepState step = run.task().step();
		int priority = this.state.queueOf(step.job()).map(JobQueue::priority).orElse(Integer.MAX_VALUE);
		return priority > URGENT && step.spec().service().mayMiss() == 0;
	}

	// Room that was cleared for one unit is not there for any other.
	private Rooms roomFor(WorkUnit unit) {
		Rooms rooms = new Rooms();
		this.cleared.forEach((first, placement) -> {
			if (first != unit.first()) {
				placement.forEach((task, worker) -> rooms.take(worker, first.step().spec().demand()));
			}
		});
		for (Reservation reservation : this.reservations) {
			if (unit.step().spec().estimateMillis() > reservation.inMillis()) {
				reservation.placement().values().forEach((worker) -> rooms.take(worker, reservation.unit().demand()));
			}
		}
		return rooms;
	}

	private List<Worker> eligible(WorkUnit unit) {
		String label = unit.step().spec().placement().requiredLabel();
		List<Worker> eligible = new ArrayList<>();
		for (Worker worker : this.state.workers().values()) {
			if (!this.state.mayStartOn(worker)) {
				continue;
			}
			WorkerDescription said = worker.description().orElseThrow();
			if (said.pool().equals(unit.queue().pool()) && (label.isEmpty() || said.labels().contains(label))) {
				eligible.add(worker);
			}
		}
		return eligible;
	}

	private List<WorkUnit> waitingUnits() {
		Map<String, Long> urgentDemand = urgentDemand();
		List<WorkUnit> units = new ArrayList<>();
		for (JobState job : this.state.jobs().values()) {
			Optional<JobQueue> queue = this.state.queueOf(job);
			if (job.over() || queue.isEmpty()) {
				continue;
			}
			boolean guaranteed = isGuaranteed(job, queue.get(), urgentDemand);
			for (StepState step : job.steps()) {
				if (!step.done() && isDue(step) && job.turnOf(step)) {
					addUnits(units, queue.get(), step, guaranteed);
				}
			}
		}
		return units;
	}

	private boolean isDue(StepState step) {
		long due = step.job().workflow().schedule().dueAt(step.occurrence());
		return due <= this.state.wallMillis() && step.notBeforeMillis() <= this.state.steadyMillis();
	}

	private void addUnits(List<WorkUnit> units, JobQueue queue, StepState step, boolean guaranteed) {
		long due = dueMillis(step);
		if (step.spec().gang()) {
			if (step.allIdle()) {
				units.add(new WorkUnit(queue, step, step.tasks(), due, guaranteed));
			}
			return;
		}
		for (TaskState task : step.tasks()) {
			if (task.idle() && !task.done()) {
				units.add(new WorkUnit(queue, step, List.of(task), due, guaranteed));
			}
		}
	}

	private static long dueMillis(StepState step) {
		Workflow workflow = step.job().workflow();
		return Math.max(workflow.acceptedAtMillis(), workflow.schedule().dueAt(step.occurrence()));
	}

	private static boolean isGuaranteed(JobState job, JobQueue queue, Map<String, Long> urgentDemand) {
		return queue.priority() == URGENT && urgentDemand.getOrDefault(job.id(), Long.MAX_VALUE) <= 0;
	}

	// A customer's urgent jobs belong to its guarantee in the order of their arrival, as
	// long as the accelerators of all of them together stay within it. The value kept for
	// a job is by how much the guarantee would be exceeded with it.
	private Map<String, Long> urgentDemand() {
		Map<String, Long> byCustomer = new HashMap<>();
		Map<String, Long> byJob = new HashMap<>();
		for (JobState job : this.state.jobs().values()) {
			boolean urgent = this.state.queueOf(job).map((queue) -> queue.priority() == URGENT).orElse(false);
			Optional<FleetCustomer> customer = this.state.configuration().customer(job.workflow().customer());
			if (job.over() || !urgent || customer.isEmpty()) {
				continue;
			}
			long sum = byCustomer.getOrDefault(customer.get().name(), 0L) + accelerators(job);
			long over = sum - customer.get().guaranteedAccelerators();
			if (over <= 0) {
				byCustomer.put(customer.get().name(), sum);
			}
			byJob.put(job.id(), over);
		}
		return byJob;
	}

	private static long accelerators(JobState job) {
		long sum = 0;
		for (StepState step : job.steps()) {
			if (!step.done()) {
				sum += step.spec().demand().accelerators() * step.spec().count();
			}
		}
		return sum;
	}

}
