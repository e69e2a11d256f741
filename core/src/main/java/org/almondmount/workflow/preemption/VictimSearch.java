package org.almondmount.workflow.preemption;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.almondmount.workflow.ResourceAmount;

/**
 * Searches for the runs whose stop makes room for all tasks of a unit at the least loss.
 * Deterministic; created for one search.
 * <p>
 * This answers bursts of urgent gangs on a fleet that is full of other gangs. Stopping a
 * gang frees its room on all of its workers, so its loss is shared by all tasks that then
 * fit, and the search takes whatever loses least for each further task.
 */
public final class VictimSearch {

	private final RoomRequest request;

	private final FreedRoom room;

	/** The groups that hold room on each worker, those with the least loss first. */
	private final List<List<Integer>> leastLossFirst;

	/**
	 * The same groups, those first that lose least for the room that they hold anywhere.
	 */
	private final List<List<Integer>> leastLossPerRoomFirst;

	/** The best choice on each worker when it was last examined, or null. */
	private final Choice[] choices;

	private VictimSearch(RoomRequest request) {
		this.request = request;
		this.room = new FreedRoom(request);
		this.choices = new Choice[request.workers().size()];
		this.leastLossFirst = groupsByWorker(VictimGroup::loss);
		this.leastLossPerRoomFirst = groupsByWorker((group) -> group.loss() / group.tasksHeld(request.allocation()));
	}

	/**
	 * Finds the groups to stop.
	 * @param request the unit, its workers and the runs that may be stopped
	 * @param known groups that would make room as well, or none; the result is never
	 * dearer
	 * @return the groups, or empty if the unit would not fit even if all were stopped
	 */
	public static Optional<VictimSet> cheapest(RoomRequest request, Set<Integer> known) {
		Optional<VictimSet> found = new VictimSearch(request).search();
		Optional<VictimSet> improved = improve(request, known);
		if (found.isEmpty() || improved.isEmpty()) {
			return found.or(() -> improved);
		}
		return (improved.get().loss() <= found.get().loss()) ? improved : found;
	}

	private static Optional<VictimSet> improve(RoomRequest request, Set<Integer> known) {
		FreedRoom room = new FreedRoom(request);
		known.forEach(room::stop);
		return neededOf(room);
	}

	private static Optional<VictimSet> neededOf(FreedRoom room) {
		if (!room.holdsAllTasks()) {
			return Optional.empty();
		}
		room.keepUnneeded();
		return Optional.of(new VictimSet(room.stopped(), room.loss()));
	}

	private List<List<Integer>> groupsByWorker(ToDoubleFunction<VictimGroup> rank) {
		double[] ranks = this.request.groups().stream().mapToDouble(rank).toArray();
		List<List<Integer>> byWorker = new ArrayList<>();
		this.request.workers().forEach((worker) -> byWorker.add(new ArrayList<>()));
		for (int group = 0; group < ranks.length; group++) {
			for (int worker : this.request.groups().get(group).held().keySet()) {
				byWorker.get(worker).add(group);
			}
		}
		byWorker.forEach((groups) -> groups.sort(Comparator.comparingDouble((group) -> ranks[group])));
		return byWorker;
	}

	private Optional<VictimSet> search() {
		for (int worker = 0; worker < this.choices.length; worker++) {
			this.choices[worker] = bestChoice(worker);
		}
		while (!this.room.holdsAllTasks()) {
			Choice best = takeBestChoice();
			if (best == null) {
				return Optional.empty();
			}
			best.groups().forEach(this.room::stop);
			best.groups().forEach(this::examineAgain);
		}
		return neededOf(this.room);
	}

	private void examineAgain(int group) {
		for (int worker : this.request.groups().get(group).held().keySet()) {
			this.choices[worker] = bestChoice(worker);
		}
	}

	// A choice elsewhere may have changed what this one gains, so the best one is
	// examined
	// again before it is taken, instead of all of them each time.
	private Choice takeBestChoice() {
		int best = indexOfBestChoice();
		while (best >= 0) {
			Choice before = this.choices[best];
			this.choices[best] = bestChoice(best);
			if (this.choices[best] != null && this.choices[best].lossPerTask() <= before.lossPerTask()) {
				return this.choices[best];
			}
			best = indexOfBestChoice();
		}
		return null;
	}

	private int indexOfBestChoice() {
		int best = -1;
		for (int worker = 0; worker < this.choices.length; worker++) {
			if (this.choices[worker] != null
					&& (best < 0 || this.choices[worker].lossPerTask() < this.choices[best].lossPerTask())) {
				best = worker;
			}
		}
		return best;
	}

	// Room for one task, for two, for four and so on: a large run may be dear for one
	// task and cheap for the four that fit in its place.
	private Choice bestChoice(int worker) {
		long fitting = this.room.worker(worker).countFitting(this.request.allocation());
		long limit = Math.min(this.room.worker(worker).maxTasks() - fitting, this.room.missingTasks());
		Choice best = null;
		for (long more = 1; more <= limit; more *= 2) {
			ResourceAmount required = this.request.allocation().times(fitting + more);
			best = better(best, groupsFor(worker, required, this.leastLossFirst.get(worker)));
			best = better(best, groupsFor(worker, required, this.leastLossPerRoomFirst.get(worker)));
		}
		return best;
	}

	private Choice better(Choice best, List<Integer> groups) {
		if (groups.isEmpty() || (best != null && best.groups().equals(groups))) {
			return best;
		}
		long gain = Math.min(this.room.gain(groups), this.room.missingTasks());
		double lossPerTask = this.room.addedLoss(groups) / gain;
		return (best == null || lossPerTask < best.lossPerTask()) ? new Choice(groups, lossPerTask) : best;
	}

	// Takes the first groups of an order, then leaves out those that turned out not to be
	// needed, the last first.
	private List<Integer> groupsFor(int worker, ResourceAmount required, List<Integer> order) {
		ResourceAmount free = this.room.worker(worker).free();
		List<Integer> taken = new ArrayList<>();
		for (int group : order) {
			if (required.fitsIn(free)) {
				break;
			}
			if (!this.room.isStopped(group)) {
				taken.add(group);
				free = free.plus(heldOn(worker, group));
			}
		}
		if (!required.fitsIn(free)) {
			return List.of();
		}
		for (int index = taken.size() - 1; index >= 0; index--) {
			ResourceAmount without = free.minus(heldOn(worker, taken.get(index)));
			if (required.fitsIn(without)) {
				free = without;
				taken.remove(index);
			}
		}
		return taken;
	}

	private ResourceAmount heldOn(int worker, int group) {
		return this.request.groups().get(group).held().get(worker);
	}

	/**
	 * Groups that make room for further tasks.
	 *
	 * @param groups the groups to stop
	 * @param lossPerTask the core-seconds that are lost for each task that then fits
	 */
	private record Choice(List<Integer> groups, double lossPerTask) {
	}

}
