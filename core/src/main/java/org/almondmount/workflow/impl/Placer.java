package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.speed.SpeedPreference;
import org.almondmount.workflow.speed.SpeedProfile;

/**
 * Chooses workers for a unit. Stateless.
 * <p>
 * A unit is placed where it leaves the least free capacity, so that complete workers and
 * racks stay free for units that need them. A gang that is slow across racks is placed in
 * one rack, unless no rack could hold it even if it were empty: across racks it would
 * take three times as long and hold its accelerators for all that time. How long it waits
 * for a rack is decided by {@link RackWaitPlanner}.
 */
final class Placer {

	/** Factor by which a gang that prefers one rack is slower across several racks. */
	static final double CROSS_RACK_SLOWDOWN = 3;

	/**
	 * Cost of a worker in another rack than the unit's data. It is more than the capacity
	 * of a whole worker, so that the rack of the data always wins.
	 */
	private static final double REMOTE_RACK_COST = 10;

	/**
	 * Cost of each step of suspicion against a worker. One step outweighs a better fit,
	 * but not the rack of the data.
	 */
	private static final double SUSPICION_COST = 3;

	/**
	 * Cost of a worker that the unit avoids for its speed. Like one step of suspicion, it
	 * outweighs a better fit, but not the rack of the data.
	 */
	private static final double AVOIDED_SPEED_COST = 3;

	/**
	 * Cost of each core-second of other work that a crash may lose. For a suspect, ten
	 * core-seconds weigh as much as the rack of its data.
	 */
	private static final double CORE_SECOND_COST = 1;

	private final SchedulerPolicy policy;

	private final LongSupplier steadyMillis;

	private final Supplier<SpeedProfile> speedProfile;

	Placer(SchedulerPolicy policy, LongSupplier steadyMillis, Supplier<SpeedProfile> speedProfile) {
		this.policy = policy;
		this.steadyMillis = steadyMillis;
		this.speedProfile = speedProfile;
	}

	/**
	 * Chooses workers.
	 * @param unit the unit to place
	 * @param workers the workers that may run it
	 * @param capacities supplies the available capacity; called for each attempt
	 * @return the worker of each task, or empty if the unit does not fit now
	 */
	Optional<Map<TaskState, Worker>> place(WorkUnit unit, List<Worker> workers,
			Supplier<TentativeCapacity> capacities) {
		List<Worker> candidates = withoutProbed(unit, workers);
		if (!unit.gang()) {
			return placeSingle(unit, candidates, capacities.get());
		}
		TentativeCapacity capacity = capacities.get();
		if (!requiresOneRack(unit, candidates)) {
			return fill(unit, candidates, capacity);
		}
		List<List<Worker>> racks = racks(unit, candidates);
		if (preference(unit) == SpeedPreference.FAST_FIRST && unit.step().spec().placement().dataRack().isEmpty()) {
			for (List<Worker> rack : racks) {
				Optional<Map<TaskState, Worker>> found = fill(unit, soundFastOnes(rack), capacity);
				if (found.isPresent()) {
					return found;
				}
			}
		}
		for (List<Worker> rack : racks) {
			Optional<Map<TaskState, Worker>> found = fill(unit, rack, capacity);
			if (found.isPresent()) {
				return found;
			}
		}
		return Optional.empty();
	}

	/**
	 * Chooses workers for a gang regardless of racks.
	 * @param unit the unit to place
	 * @param workers the workers that may run it
	 * @param capacities supplies the available capacity
	 * @return the worker of each task, or empty if the unit does not fit now
	 */
	Optional<Map<TaskState, Worker>> placeAcrossRacks(WorkUnit unit, List<Worker> workers,
			Supplier<TentativeCapacity> capacities) {
		return fill(unit, withoutProbed(unit, workers), capacities.get());
	}

	// A worker that is probed takes one run at a time, and no gang or retry that the
	// others could hold. Guaranteed work has a time limit of its own and does not wait
	// for a probe.
	private List<Worker> withoutProbed(WorkUnit unit, List<Worker> workers) {
		long now = this.steadyMillis.getAsLong();
		if (unit.guaranteed() || !anyProbed(workers, now)) {
			return workers;
		}
		boolean cautious = unit.gang() || unit.firstTask().failures() > 0;
		List<Worker> others = new ArrayList<>(workers.size());
		for (Worker worker : workers) {
			if (!worker.probeRuns(now) && !(cautious && worker.health().awaitsProbe(now))) {
				others.add(worker);
			}
		}
		if (others.size() == workers.size()) {
			return workers;
		}
		return (!cautious || couldHoldAsWell(unit, others, workers)) ? others : workers;
	}

	/**
	 * Returns the workers for which capacity is freed or reserved. A worker that is
	 * probed has to show first that it is sound.
	 * @param unit the unit
	 * @return the workers that may run it, without those that are probed unless it is
	 * guaranteed or the others could not hold it as well
	 */
	List<Worker> offered(WorkUnit unit) {
		long now = this.steadyMillis.getAsLong();
		List<Worker> workers = unit.workers();
		if (unit.guaranteed() || !anyProbed(workers, now)) {
			return workers;
		}
		List<Worker> others = workers.stream().filter((worker) -> !worker.health().probed(now)).toList();
		return couldHoldAsWell(unit, others, workers) ? others : workers;
	}

	private static boolean anyProbed(List<Worker> workers, long now) {
		for (Worker worker : workers) {
			if (worker.health().probed(now)) {
				return true;
			}
		}
		return false;
	}

	private boolean couldHoldAsWell(WorkUnit unit, List<Worker> others, List<Worker> workers) {
		return TentativeCapacity.ofIdleWorkers().canPlaceAll(others, unit)
				&& requiresOneRack(unit, others) == requiresOneRack(unit, workers);
	}

	/**
	 * Groups workers by rack. The rack near the unit's data comes first, followed by the
	 * other racks in the order of their free capacity, the least first.
	 * @param unit the unit
	 * @param workers the workers
	 * @return the workers of each rack
	 */
	List<List<Worker>> racks(WorkUnit unit, List<Worker> workers) {
		Map<String, List<Worker>> racks = byRack(workers);
		String dataRack = unit.step().spec().placement().dataRack();
		List<RackChoice> choices = new ArrayList<>(racks.size());
		racks.forEach(
				(rack, members) -> choices.add(new RackChoice(members, rack.equals(dataRack), freeWorkers(members))));
		choices.sort(RackChoice.ORDER);
		return choices.stream().map(RackChoice::workers).toList();
	}

	/**
	 * Whether a unit may only be placed in one rack.
	 * @param unit the unit
	 * @param workers the workers that may run it
	 * @return whether it runs fast only in one rack, and some rack would hold it if
	 * nothing else ran there
	 */
	boolean requiresOneRack(WorkUnit unit, List<Worker> workers) {
		return this.policy.isEnabled(SchedulerFeature.GANG_IN_ONE_RACK) && unit.prefersOneRack()
				&& anyRackCouldHold(unit, workers);
	}

	private boolean anyRackCouldHold(WorkUnit unit, List<Worker> workers) {
		TentativeCapacity idle = TentativeCapacity.ofIdleWorkers();
		return byRack(workers).values().stream().anyMatch((rack) -> idle.canPlaceAll(rack, unit));
	}

	private static Map<String, List<Worker>> byRack(List<Worker> workers) {
		Map<String, List<Worker>> racks = new LinkedHashMap<>();
		for (Worker worker : workers) {
			racks.computeIfAbsent(worker.rack(), (rack) -> new ArrayList<>()).add(worker);
		}
		return racks;
	}

	// Most waiting units do not fit, which is determined without sorting the workers.
	private Optional<Map<TaskState, Worker>> fill(WorkUnit unit, List<Worker> workers, TentativeCapacity capacity) {
		if (!capacity.canPlaceAll(workers, unit)) {
			return Optional.empty();
		}
		List<WorkerChoice> choices = new ArrayList<>(workers.size());
		ToDoubleFunction<Worker> crashLoss = crashLoss(unit);
		SpeedPreference preference = gangPreference(unit, workers, capacity);
		long now = this.steadyMillis.getAsLong();
		for (Worker worker : workers) {
			int suspicion = worker.health().gangSuspicion(now);
			choices.add(new WorkerChoice(worker, crashLoss.applyAsDouble(worker), suspicion,
					preference.rank(isSoundAndFast(worker, suspicion)), fitCost(worker, capacity.available(worker))));
		}
		choices.sort(WorkerChoice.ORDER);
		return fillInOrder(unit, choices.stream().map(WorkerChoice::worker).toList(), capacity);
	}

	// A gang is as slow as its slowest member, so fast workers are of use to it only if
	// they hold all of it.
	private SpeedPreference gangPreference(WorkUnit unit, List<Worker> workers, TentativeCapacity capacity) {
		SpeedPreference preference = preference(unit);
		if (preference == SpeedPreference.FAST_FIRST && !capacity.canPlaceAll(soundFastOnes(workers), unit)) {
			return SpeedPreference.FAST_LAST;
		}
		return preference;
	}

	private SpeedPreference preference(WorkUnit unit) {
		boolean tight = unit.queue().urgent() && unit.queue().isTightFor(unit.step().criticalPathMillis())
				&& !unit.step().spec().longRunning();
		return SpeedPreference.of(this.speedProfile.get(), tight);
	}

	// A worker under suspicion is chosen last, whatever its speed.
	private boolean isSoundAndFast(Worker worker, int suspicion) {
		return suspicion == 0 && this.speedProfile.get().isFast(worker.speed());
	}

	private List<Worker> soundFastOnes(List<Worker> workers) {
		long now = this.steadyMillis.getAsLong();
		return workers.stream().filter((worker) -> isSoundAndFast(worker, worker.health().gangSuspicion(now))).toList();
	}

	/**
	 * Fills the workers one after the other.
	 * @param unit the unit to place
	 * @param order the workers in the order in which they are filled
	 * @param capacity the available capacity; allocated as far as the tasks fit
	 * @return the worker of each task, or empty if not all tasks fit
	 */
	static Optional<Map<TaskState, Worker>> fillInOrder(WorkUnit unit, List<Worker> order, TentativeCapacity capacity) {
		Map<TaskState, Worker> placement = new LinkedHashMap<>();
		int next = 0;
		for (TaskState task : unit.tasks()) {
			while (next < order.size() && !capacity.canPlace(order.get(next), unit)) {
				next++;
			}
			if (next == order.size()) {
				return Optional.empty();
			}
			capacity.place(order.get(next), unit);
			placement.put(task, order.get(next));
		}
		return Optional.of(placement);
	}

	private Optional<Map<TaskState, Worker>> placeSingle(WorkUnit unit, List<Worker> workers,
			TentativeCapacity capacity) {
		String dataRack = unit.step().spec().placement().dataRack();
		Worker best = null;
		double bestCost = Double.MAX_VALUE;
		ToDoubleFunction<Worker> crashLoss = crashLoss(unit);
		SpeedPreference preference = preference(unit);
		long now = this.steadyMillis.getAsLong();
		for (Worker worker : workers) {
			if (!capacity.canPlace(worker, unit)) {
				continue;
			}
			double cost = fitCost(worker, capacity.available(worker).minus(unit.allocation()));
			int suspicion = worker.health().suspicion(now);
			cost += remoteRackCost(dataRack, worker) + suspicion * SUSPICION_COST;
			cost += crashLoss.applyAsDouble(worker) * CORE_SECOND_COST;
			cost += preference.rank(isSoundAndFast(worker, suspicion)) * AVOIDED_SPEED_COST;
			if (cost < bestCost) {
				best = worker;
				bestCost = cost;
			}
		}
		return (best != null) ? Optional.of(Map.of(unit.tasks().get(0), best)) : Optional.empty();
	}

	// Returns the work that a unit may lose by crashing a worker; 0 unless it is a
	// suspect.
	private ToDoubleFunction<Worker> crashLoss(WorkUnit unit) {
		if (!unit.isolation().isSuspect()) {
			return (worker) -> 0;
		}
		WorkLossEstimator lossEstimator = lossEstimator(this.steadyMillis.getAsLong());
		return (worker) -> lossEstimator.lossOfOtherSteps(worker, unit.step());
	}

	/**
	 * Creates an estimator of the work that is lost with runs.
	 * @param now the steady clock
	 * @return the estimator, for use in one search
	 */
	WorkLossEstimator lossEstimator(long now) {
		return new WorkLossEstimator(now, this.policy.checkpointing().restoreMillis());
	}

	private double fitCost(Worker worker, ResourceAmount free) {
		return this.policy.isEnabled(SchedulerFeature.PACK_TIGHTLY) ? free.totalShareOf(worker.capacity()) : 0;
	}

	private static double remoteRackCost(String dataRack, Worker worker) {
		return (dataRack.isEmpty() || dataRack.equals(worker.rack())) ? 0 : REMOTE_RACK_COST;
	}

	private static double freeWorkers(List<Worker> rack) {
		double free = 0;
		for (Worker worker : rack) {
			free += worker.free().totalShareOf(worker.capacity());
		}
		return free;
	}

	/**
	 * A rack with its ranking criteria.
	 *
	 * @param workers its workers
	 * @param nearData whether the unit's data are in this rack
	 * @param freeWorkers the free capacity, in whole workers
	 */
	private record RackChoice(List<Worker> workers, boolean nearData, double freeWorkers) {

		private static final Comparator<RackChoice> ORDER = Comparator
			.comparing((RackChoice choice) -> !choice.nearData)
			.thenComparingDouble(RackChoice::freeWorkers);

	}

	/**
	 * A worker with its ranking criteria.
	 *
	 * @param worker the worker
	 * @param crashLoss the work that a suspect may lose there, in core-seconds; 0 for all
	 * other units
	 * @param suspicion how much speaks against the worker
	 * @param speedRank whether its speed suits the unit, 0 if it does
	 * @param fitCost the capacity that stays free there
	 */
	private record WorkerChoice(Worker worker, double crashLoss, int suspicion, int speedRank, double fitCost) {

		private static final Comparator<WorkerChoice> ORDER = Comparator.comparingDouble(WorkerChoice::crashLoss)
			.thenComparingInt(WorkerChoice::suspicion)
			.thenComparingInt(WorkerChoice::speedRank)
			.thenComparingDouble(WorkerChoice::fitCost);

	}

}
