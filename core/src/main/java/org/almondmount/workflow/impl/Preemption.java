package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.almondmount.workflow.ResourceAmount;

/**
 * Chooses what has to give way to a unit of a customer's guarantee. Stateless.
 * <p>
 * Of all racks that could hold the unit, the one is chosen where the least work is thrown
 * away: core-seconds since the last checkpoint, of the whole gang where a member gives
 * way.
 */
final class Preemption {

	private static final double MILLIS = 1_000.0;

	/** Work since the last checkpoint is at most about this old, in seconds. */
	private static final double CHECKPOINTED_SECONDS = 1;

	private final Placer placer;

	Preemption(Placer placer) {
		this.placer = placer;
	}

	/**
	 * Chooses a placement and what gives way to it.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers those that may run it
	 * @param room makes the room that is there for the unit; called for each try
	 * @param mayGiveWay the runs that may be stopped
	 * @return the cheapest plan, or empty where even that would not make room
	 */
	Optional<Plan> plan(long now, WorkUnit unit, List<Worker> workers, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		if (this.placer.goesInOneRack(unit, workers)) {
			Optional<Plan> inOneRack = cheapest(now, unit, this.placer.racks(unit, workers), room, mayGiveWay);
			if (inOneRack.isPresent()) {
				return inOneRack;
			}
		}
		return planWithin(now, unit, workers, room, mayGiveWay);
	}

	private Optional<Plan> cheapest(long now, WorkUnit unit, List<List<Worker>> choices, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		Plan best = null;
		for (List<Worker> choice : choices) {
			Plan plan = planWithin(now, unit, choice, room, mayGiveWay).orElse(null);
			if (plan != null && (best == null || plan.cost() < best.cost())) {
				best = plan;
			}
		}
		return Optional.ofNullable(best);
	}

	private Optional<Plan> planWithin(long now, WorkUnit unit, List<Worker> workers, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		Rooms rooms = room.get();
		for (Worker worker : workers) {
			for (Run run : worker.runs()) {
				if (run.stopping() || mayGiveWay.test(run)) {
					rooms.give(worker, run.room());
				}
			}
		}
		List<Worker> cheapFirst = new ArrayList<>(workers);
		cheapFirst.sort(Comparator.comparingDouble((worker) -> costOfAll(now, worker, mayGiveWay)));
		Optional<Map<TaskState, Worker>> placement = Placer.fillInOrder(unit, cheapFirst, rooms);
		if (placement.isEmpty()) {
			return Optional.empty();
		}
		Set<Run> victims = victims(now, unit, placement.get(), room.get(), mayGiveWay);
		double cost = victims.stream().mapToDouble((run) -> cost(now, run)).sum();
		return Optional.of(new Plan(placement.get(), victims, cost));
	}

	private Set<Run> victims(long now, WorkUnit unit, Map<TaskState, Worker> placement, Rooms rooms,
			Predicate<Run> mayGiveWay) {
		Set<Run> victims = new LinkedHashSet<>();
		for (Worker worker : new LinkedHashSet<>(placement.values())) {
			long here = placement.values().stream().filter(worker::equals).count();
			ResourceAmount wanted = unit.room().times(here);
			ResourceAmount room = rooms.free(worker);
			for (Run run : worker.runs()) {
				room = (run.stopping() || victims.contains(run)) ? room.plus(run.room()) : room;
			}
			List<Run> candidates = new ArrayList<>(
					worker.runs().stream().filter((run) -> !run.stopping()).filter(mayGiveWay).toList());
			candidates.sort(Comparator.comparingDouble((run) -> cost(now, run)));
			for (Run run : candidates) {
				if (wanted.fitsIn(room)) {
					break;
				}
				if (victims.add(run)) {
					room = room.plus(run.room());
				}
			}
		}
		return withWholeGangs(victims);
	}

	private static Set<Run> withWholeGangs(Set<Run> victims) {
		Set<Run> whole = new LinkedHashSet<>(victims);
		for (Run victim : victims) {
			if (victim.task().step().spec().gang()) {
				victim.task().step().tasks().forEach((task) -> whole.addAll(task.openRuns()));
			}
		}
		return whole;
	}

	private double costOfAll(long now, Worker worker, Predicate<Run> mayGiveWay) {
		double cost = 0;
		for (Run run : worker.runs()) {
			cost += mayGiveWay.test(run) ? cost(now, run) : 0;
		}
		return cost;
	}

	private static double cost(long now, Run run) {
		double seconds = run.running() ? Math.max(0, now - run.startedMillis()) / MILLIS : 0;
		StepState step = run.task().step();
		if (step.spec().checkpoints()) {
			seconds = Math.min(seconds, CHECKPOINTED_SECONDS);
		}
		int members = step.spec().gang() ? step.tasks().size() : 1;
		return (seconds + 1) * run.room().coreEquivalents() * members;
	}

	/**
	 * Where the unit goes and what has to end first.
	 *
	 * @param placement the worker of each task
	 * @param victims runs that give way
	 * @param cost what is thrown away, in core-seconds
	 */
	record Plan(Map<TaskState, Worker> placement, Set<Run> victims, double cost) {
	}

}
