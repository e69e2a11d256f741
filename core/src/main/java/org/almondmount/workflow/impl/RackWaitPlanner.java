package org.almondmount.workflow.impl;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.almondmount.workflow.LoadDecision;
import org.almondmount.workflow.rack.RackWait;
import org.almondmount.workflow.rack.WaitingGang;

/**
 * Decides how long gangs wait for capacity in one rack although other capacity would hold
 * them. Owned by the scheduler.
 */
final class RackWaitPlanner {

	/**
	 * Time between two decisions on the same gang, in milliseconds; each one considers
	 * all runs of the fleet.
	 */
	private static final long REVIEW_INTERVAL_MILLIS = 500;

	/**
	 * Time in milliseconds after the start of a term until all workers have reported,
	 * since targets connect to a new holder one after the other.
	 */
	private static final long FLEET_DISCOVERY_MILLIS = 1_000;

	private final SchedulerState state;

	private final Placer placer;

	RackWaitPlanner(SchedulerState state, Placer placer) {
		this.state = state;
		this.placer = placer;
	}

	/**
	 * Places a gang across racks that was not placed in one, if it does not wait for one
	 * any longer.
	 * @param unit the unit
	 * @param capacities supplies the capacity available to it
	 * @return the worker of each task, or empty if the gang waits or fits nowhere
	 */
	Optional<Map<TaskState, Worker>> endWait(WorkUnit unit, Supplier<TentativeCapacity> capacities) {
		long now = this.state.steadyMillis();
		RackWaitTimer timer = unit.step().rackWaitTimer();
		if (!unit.prefersOneRack() || !timer.isReviewDue(now) || this.state.termAgeMillis() < FLEET_DISCOVERY_MILLIS) {
			return Optional.empty();
		}
		Optional<Map<TaskState, Worker>> acrossRacks = this.placer.placeAcrossRacks(unit, unit.workers(), capacities);
		if (acrossRacks.isEmpty()) {
			timer.pause(now);
			return Optional.empty();
		}
		WaitingGang gang = new WaitingGang(gainMillis(unit), rackDelayMillis(unit, capacities), timer.waitedMillis(now),
				isFleetIdle(unit));
		RackWait decision = RackWait.of(gang);
		report(unit, gang, decision);
		if (decision.waits()) {
			timer.keepWaiting(now, REVIEW_INTERVAL_MILLIS);
			return Optional.empty();
		}
		this.state.count(LoadDecision.GANG_PLACED_ACROSS_RACKS);
		return acrossRacks;
	}

	/**
	 * Returns how much sooner a run of a gang ends in one rack than across racks.
	 * @param unit the gang
	 * @return milliseconds, 0 if its tasks have no end that could be sooner
	 */
	static long gainMillis(WorkUnit unit) {
		if (unit.step().spec().longRunning()) {
			return 0;
		}
		return (long) (unit.step().runMillisOrDefault() * (Placer.CROSS_RACK_SLOWDOWN - 1));
	}

	private OptionalLong rackDelayMillis(WorkUnit unit, Supplier<TentativeCapacity> capacities) {
		List<List<Worker>> racks = this.placer.racks(unit, unit.workers());
		return Reservation.earliest(this.state.steadyMillis(), unit, racks, capacities)
			.map((found) -> OptionalLong.of(found.delayMillis()))
			.orElse(OptionalLong.empty());
	}

	private static boolean isFleetIdle(WorkUnit unit) {
		if (unit.isHalfOfWorkersUsed()) {
			return false;
		}
		TentativeCapacity capacity = TentativeCapacity.available();
		return Placer.fillInOrder(unit, unit.workers(), capacity).isPresent()
				&& capacity.canPlaceAll(unit.workers(), unit);
	}

	private void report(WorkUnit unit, WaitingGang gang, RackWait decision) {
		if (decision.waits() && !unit.step().rackWaitTimer().markReported()) {
			return;
		}
		this.state.explain(decision.waits() ? "gang-awaits-rack" : "gang-across-racks", "job", unit.step().job().id(),
				"step", unit.step().number(), "tasks", unit.tasks().size(), "why", decision, "eligibleWorkers",
				unit.workers().size(), "delayMillis", gang.rackDelayMillis().orElse(-1), "gainMillis",
				gang.gainMillis(), "waitedMillis", gang.waitedMillis(), "fleetIdle", gang.fleetIdle());
	}

}
