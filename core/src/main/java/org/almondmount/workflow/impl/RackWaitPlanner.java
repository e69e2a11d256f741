package org.almondmount.workflow.impl;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Reports gangs that wait for capacity in one rack although other capacity would hold
 * them. Owned by the scheduler.
 */
final class RackWaitPlanner {

	private final SchedulerState state;

	private final Placer placer;

	RackWaitPlanner(SchedulerState state, Placer placer) {
		this.state = state;
		this.placer = placer;
	}

	/**
	 * Reports a gang that was not placed in one rack, once for each step.
	 * @param unit the unit
	 * @param capacities supplies the capacity available to it
	 */
	void explainWait(WorkUnit unit, Supplier<TentativeCapacity> capacities) {
		if (!unit.prefersOneRack() || unit.step().rackWaitReported()) {
			return;
		}
		Optional<Map<TaskState, Worker>> acrossRacks = this.placer.placeAcrossRacks(unit, unit.workers(), capacities);
		if (acrossRacks.isEmpty()) {
			return;
		}
		unit.step().markRackWaitReported();
		this.state.explain("gang-awaits-rack", "job", unit.step().job().id(), "step", unit.step().number(), "tasks",
				unit.tasks().size(), "eligibleWorkers", unit.workers().size(), "delayMillis", delayMillis(unit),
				"expectedMillis", unit.step().expectedMillis());
	}

	private long delayMillis(WorkUnit unit) {
		List<List<Worker>> racks = this.placer.racks(unit, unit.workers());
		OptionalLong delay = Reservation.earliest(this.state.steadyMillis(), unit, racks)
			.map((found) -> OptionalLong.of(found.delayMillis()))
			.orElse(OptionalLong.empty());
		return delay.orElse(-1);
	}

}
