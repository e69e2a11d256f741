package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.almondmount.jobs.JobFeature;
import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.Resources;

/**
 * Keeps a spot for each guaranteed gang that is not in use. Not thread-safe.
 * <p>
 * On every worker that takes work, {@code firm + reserved} stays within the capacity:
 * whatever else is there can be preempted, so each spot can be reclaimed, all of them at
 * the same time. The check for a placement is local to its workers. A spot that has no
 * place, because workers were lost or firm work is in the way, is at risk and is laid out
 * again as soon as room grows.
 */
final class GuaranteeLedger {

	/** Closest adjacency first, then the largest. */
	private static final Comparator<Spot> TIGHTEST_FIRST = Comparator.comparing((Spot spot) -> spot.shape.adjacency())
		.thenComparing((spot) -> -spot.shape.total().accelerators())
		.thenComparing((spot) -> -spot.shape.total().cores())
		.thenComparing((spot) -> spot.customer);

	/** Moving every spot is dear; between two such tries only single ones are placed. */
	private static final long LAY_OUT_AGAIN_MILLIS = 1_000;

	private static final long LAY_OUT_AGAIN_MILLIS_A_SPOT = 5;

	/** Spots lie on workers that need not prove themselves first. */
	static final Predicate<WorkerNode> TRUSTED = (worker) -> !worker.probation;

	private static final double LONGEST_HOLD_MILLIS = 30_000;

	private final SchedulerContext desk;

	private final Fleet fleet;

	private final Placer placer;

	private final Map<CustomerId, List<Spot>> spots = new TreeMap<>();

	private final Set<Spot> unplaced = new LinkedHashSet<>();

	/** Customers whose spots have changed since they were last taken. */
	private final Set<CustomerId> changed = new LinkedHashSet<>();

	private long nextLayOutAgain = Long.MIN_VALUE;

	GuaranteeLedger(SchedulerContext desk, Fleet fleet, Placer placer) {
		this.desk = desk;
		this.fleet = fleet;
		this.placer = placer;
	}

	/**
	 * Takes the guarantees of a configuration over.
	 * @param configuration the configuration
	 */
	void configure(Configuration configuration) {
		for (CustomerId customer : new ArrayList<>(this.spots.keySet())) {
			if (!configuration.customers().containsKey(customer)) {
				withdraw(this.spots.remove(customer));
			}
		}
		for (Customer customer : new TreeMap<>(configuration.customers()).values()) {
			configure(customer);
		}
		this.nextLayOutAgain = this.desk.now;
		layOut();
	}

	/** Finds places for the spots that have none. */
	void layOut() {
		if (this.unplaced.isEmpty() || layOutUnplaced()) {
			return;
		}
		if (this.desk.now >= this.nextLayOutAgain) {
			long pause = Math.max(LAY_OUT_AGAIN_MILLIS, all().size() * LAY_OUT_AGAIN_MILLIS_A_SPOT);
			this.nextLayOutAgain = this.desk.now + pause;
			layOutAgain();
		}
	}

	/**
	 * The customers whose spots have changed since the last call.
	 * @return the customers
	 */
	List<CustomerId> takeChanged() {
		List<CustomerId> taken = new ArrayList<>(this.changed);
		this.changed.clear();
		return taken;
	}

	/**
	 * Whether work that stays may be placed on a worker: not where a spot that has no
	 * place could lie if everything else left, or the spot would wait for that work.
	 * @param worker the worker
	 * @return true if it may
	 */
	boolean allowsFirm(WorkerNode worker) {
		for (Spot spot : this.unplaced) {
			if (couldHold(worker, spot.shape)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Whether any worker has room for a task beside all spots on it, in use or not.
	 * @param need what the task needs
	 * @return true if one has
	 */
	boolean leavesRoom(Resources need) {
		for (WorkerNode worker : this.fleet.workers()) {
			Amount left = new Amount();
			left.add(worker.capacity(), 1);
			left.add(need, -1);
			for (Spot.Part part : worker.parts) {
				left.add(part.spot.shape.perMember(), -part.members);
			}
			if (worker.isAccepting() && left.isCovered()) {
				return true;
			}
		}
		return false;
	}

	private boolean couldHold(WorkerNode worker, GangShape shape) {
		if (shape.adjacency() != Adjacency.WORKER && shape.adjacency() != Adjacency.RACK) {
			return true;
		}
		List<WorkerNode> domain = (shape.adjacency() == Adjacency.WORKER) ? List.of(worker) : worker.rack.workers;
		int members = 0;
		for (WorkerNode each : domain) {
			if (each.isAccepting()) {
				members += Capacities.fitting(shape.perMember(), each.capacity());
			}
		}
		return members >= shape.members();
	}

	Set<Spot> unplaced() {
		return this.unplaced;
	}

	List<Spot> spots(CustomerId customer) {
		return this.spots.getOrDefault(customer, List.of());
	}

	List<Spot> all() {
		List<Spot> all = new ArrayList<>();
		this.spots.values().forEach(all::addAll);
		return all;
	}

	/**
	 * Whether a job and all that its customer has already are no more than the customer's
	 * guarantees altogether.
	 * @param job the job
	 * @return true if so
	 */
	boolean covers(JobState job) {
		Amount left = new Amount();
		for (Spot spot : spots(job.spec.customer())) {
			left.add(spot.shape.total(), 1);
		}
		left.subtract(job.queue.customer.used);
		left.add(job.spec.shape().total(), -1);
		return left.isCovered();
	}

	/**
	 * Workers inside a spot for each member of a gang.
	 * @param shape the gang
	 * @param spot the spot
	 * @return a worker for each member, null if it does not fit what is left of the spot
	 */
	List<WorkerNode> inside(GangShape shape, Spot spot) {
		if (!spot.isPlaced()) {
			return null;
		}
		Map<Object, List<WorkerNode>> together = new LinkedHashMap<>();
		for (Spot.Part part : spot.parts) {
			List<WorkerNode> found = together.computeIfAbsent(domain(shape.adjacency(), part.worker),
					(domain) -> new ArrayList<>());
			for (int slots = part.slots(shape.perMember()); slots > 0 && found.size() < shape.members(); slots--) {
				found.add(part.worker);
			}
			if (found.size() == shape.members()) {
				return found;
			}
		}
		return null;
	}

	/**
	 * Moves a spot that is not in use, or gives it its first place.
	 * @param spot the spot
	 * @param places a worker for each member
	 */
	void place(Spot spot, List<WorkerNode> places) {
		lift(spot);
		Map<WorkerNode, Integer> members = new LinkedHashMap<>();
		for (WorkerNode worker : places) {
			members.merge(worker, 1, Integer::sum);
		}
		members.forEach((worker, count) -> {
			Spot.Part part = new Spot.Part(spot, worker, count);
			spot.parts.add(part);
			worker.parts.add(part);
			part.count(1);
			this.fleet.changed(worker);
		});
		this.unplaced.remove(spot);
		this.changed.add(spot.customer);
	}

	/**
	 * Takes a spot's place away.
	 * @param spot the spot
	 */
	void lift(Spot spot) {
		hold(spot, false);
		for (Spot.Part part : spot.parts) {
			part.count(-1);
			part.worker.parts.remove(part);
			this.fleet.changed(part.worker);
		}
		spot.parts.clear();
		spot.broken = false;
	}

	/**
	 * Has an attempt of the owner run inside a spot.
	 * @param spot the spot
	 * @param gang the attempt, with its members' workers
	 */
	void charge(Spot spot, Gang gang) {
		hold(spot, false);
		gang.guaranteeReservation = spot;
		spot.users.add(gang);
		count(spot, gang, 1);
	}

	/**
	 * Gives back what an attempt has of its spot, as a member's room is released.
	 * @param member the member
	 */
	void release(Member member) {
		Spot spot = member.gang.guaranteeReservation;
		if (spot == null) {
			return;
		}
		Spot.Part part = part(spot, member.worker);
		if (part != null) {
			count(part, member.gang.job.spec.shape().perMember(), -1);
		}
		if (member.gang.allocatedCount > 0) {
			return;
		}
		closeUse(member.gang, spot);
	}

	/**
	 * Takes an attempt out of its spot while its members still have their room.
	 * @param gang the attempt
	 */
	void uncharge(Gang gang) {
		Spot spot = gang.guaranteeReservation;
		for (Member member : gang.members) {
			Spot.Part part = member.allocated ? part(spot, member.worker) : null;
			if (part != null) {
				count(part, gang.job.spec.shape().perMember(), -1);
			}
		}
		closeUse(gang, spot);
	}

	private void closeUse(Gang gang, Spot spot) {
		gang.guaranteeReservation = null;
		spot.users.remove(gang);
		this.changed.add(spot.customer);
		if (spot.isVacant() && spot.isPlaced()) {
			holdAfterUse(spot);
		}
		if (spot.isVacant() && spot.withdrawn) {
			lift(spot);
		}
		else if (spot.isVacant() && spot.broken) {
			lift(spot);
			this.unplaced.add(spot);
		}
	}

	/**
	 * A worker takes no more work: spots on it need another place.
	 * @param worker the worker
	 */
	void workerClosed(WorkerNode worker) {
		for (Spot.Part part : new ArrayList<>(worker.parts)) {
			Spot spot = part.spot;
			if (spot.isVacant()) {
				lift(spot);
				this.unplaced.add(spot);
			}
			else {
				spot.broken = true;
			}
		}
	}

	/**
	 * A worker takes work again: spots in use on it are whole again.
	 * @param worker the worker
	 */
	void workerOpened(WorkerNode worker) {
		for (Spot.Part part : worker.parts) {
			Spot spot = part.spot;
			spot.broken = false;
			for (Spot.Part other : spot.parts) {
				spot.broken |= !other.worker.isTrusted();
			}
		}
	}

	/**
	 * Moves spots off a worker on which they don't fit any more, because it has less than
	 * before or was found to run work that stays.
	 * @param worker the worker
	 */
	void recheck(WorkerNode worker) {
		for (Spot.Part part : new ArrayList<>(worker.parts)) {
			if (fits(worker)) {
				return;
			}
			if (part.spot.isVacant()) {
				lift(part.spot);
				this.unplaced.add(part.spot);
			}
		}
	}

	private static boolean fits(WorkerNode worker) {
		return Room.RECLAIMABLE.accelerators(worker) >= 0 && Room.RECLAIMABLE.cores(worker) >= 0
				&& Room.RECLAIMABLE.memoryMb(worker) >= 0;
	}

	/**
	 * Keeps borrowers out of a spot for a while after its use: as long as leaving it idle
	 * costs what having them leave cost last time. Whatever the owner does next, at most
	 * twice the least possible is lost.
	 * @param spot the spot
	 */
	private void holdAfterUse(Spot spot) {
		long millis = (long) Math.min(LONGEST_HOLD_MILLIS,
				1000 * spot.lastLoss / Evictor.acceleratorEquivalents(spot.shape));
		if (millis <= 0 || !this.desk.policy.isEnabled(JobFeature.SPOT_KEEPING)) {
			return;
		}
		hold(spot, true);
		spot.holds++;
		int holds = spot.holds;
		this.desk.timers.schedule(this.desk.now + millis, () -> {
			if (spot.holds == holds && spot.held) {
				hold(spot, false);
				spot.lastLoss = 0;
			}
		});
	}

	private void hold(Spot spot, boolean held) {
		if (spot.held == held) {
			return;
		}
		for (Spot.Part part : spot.parts) {
			part.count(-1);
		}
		spot.held = held;
		for (Spot.Part part : spot.parts) {
			part.count(1);
			this.fleet.changed(part.worker);
		}
	}

	private void configure(Customer customer) {
		Map<GangShape, Integer> wanted = new LinkedHashMap<>();
		for (GuaranteedShape guarantee : customer.guarantees()) {
			wanted.merge(guarantee.shape(), guarantee.gangs(), Integer::sum);
		}
		List<Spot> kept = new ArrayList<>();
		List<Spot> surplus = new ArrayList<>();
		List<Spot> known = new ArrayList<>(spots(customer.id()));
		known.sort(Comparator.comparing(Spot::isVacant));
		for (Spot spot : known) {
			boolean stays = wanted.getOrDefault(spot.shape, 0) > 0;
			wanted.computeIfPresent(spot.shape, (shape, count) -> count - 1);
			(stays ? kept : surplus).add(spot);
		}
		withdraw(surplus);
		wanted.forEach((shape, count) -> {
			for (int i = 0; i < count; i++) {
				Spot spot = new Spot(customer.id(), shape);
				kept.add(spot);
				this.unplaced.add(spot);
			}
		});
		this.spots.put(customer.id(), kept);
	}

	private void withdraw(List<Spot> withdrawn) {
		for (Spot spot : withdrawn) {
			this.unplaced.remove(spot);
			spot.withdrawn = true;
			if (spot.isVacant()) {
				lift(spot);
			}
		}
	}

	private boolean layOutUnplaced() {
		List<Spot> sorted = new ArrayList<>(this.unplaced);
		sorted.sort(TIGHTEST_FIRST);
		GangShape failed = null;
		for (Spot spot : sorted) {
			if (spot.shape.equals(failed)) {
				continue;
			}
			List<WorkerNode> places = findPlace(spot.shape);
			if (places == null) {
				failed = spot.shape;
				continue;
			}
			place(spot, places);
		}
		return this.unplaced.isEmpty();
	}

	/**
	 * Lays spots out anew, and keeps that only if more of them have a place. Small work
	 * inside a spot is taken out of it for that: it goes on as a borrower, which is less
	 * than a guarantee that could not be reclaimed at all.
	 */
	private void layOutAgain() {
		Map<Spot, List<WorkerNode>> before = new LinkedHashMap<>();
		Map<Gang, Spot> users = new LinkedHashMap<>();
		for (Spot spot : all()) {
			if (spot.isPlaced() && holdsSmallOnly(spot)) {
				before.put(spot, spot.places());
				spot.users.forEach((gang) -> users.put(gang, spot));
			}
		}
		users.keySet().forEach(this::release);
		Set<Spot> missing = new LinkedHashSet<>(this.unplaced);
		before.keySet().forEach(this::lift);
		this.unplaced.addAll(before.keySet());
		layOutUnplaced();
		if (this.unplaced.size() < missing.size()) {
			return;
		}
		before.keySet().forEach(this::lift);
		missing.forEach(this::lift);
		before.forEach(this::place);
		this.unplaced.clear();
		this.unplaced.addAll(missing);
		users.forEach((gang, spot) -> {
			charge(spot, gang);
			this.fleet.harden(gang);
		});
	}

	private void release(Gang gang) {
		uncharge(gang);
		this.fleet.soften(gang);
	}

	private static boolean holdsSmallOnly(Spot spot) {
		for (Gang gang : spot.users) {
			boolean small = Evictor.acceleratorEquivalents(gang.job) * 2 < Evictor.acceleratorEquivalents(spot.shape);
			if (!small || !gang.job.isPreemptible() || !gang.isActive()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * A place for a spot: room that is free if there is any, so that nobody has to leave
	 * when it is reclaimed.
	 * @param shape the gang
	 * @return the result
	 */
	private List<WorkerNode> findPlace(GangShape shape) {
		List<WorkerNode> places = this.placer.find(shape, Room.FIRM, TRUSTED);
		return (places != null) ? places : this.placer.find(shape, Room.RECLAIMABLE, TRUSTED);
	}

	private void count(Spot spot, Gang gang, int times) {
		for (Member member : gang.members) {
			Spot.Part part = (member.outcome == null) ? part(spot, member.worker) : null;
			if (part != null) {
				count(part, gang.job.spec.shape().perMember(), times);
			}
		}
	}

	private void count(Spot.Part part, Resources need, int times) {
		part.count(-1);
		part.owned.add(need, times);
		part.count(1);
		this.fleet.changed(part.worker);
	}

	private static Spot.Part part(Spot spot, WorkerNode worker) {
		if (worker == null) {
			return null;
		}
		for (Spot.Part part : worker.parts) {
			if (part.spot == spot) {
				return part;
			}
		}
		return null;
	}

	private static Object domain(Adjacency adjacency, WorkerNode worker) {
		return switch (adjacency) {
			case WORKER -> worker;
			case RACK -> worker.rack;
			case ZONE -> worker.rack.zone;
			case ANY -> Adjacency.ANY;
		};
	}

}
