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
 * Reserves capacity for each guaranteed gang that is not in use. Not thread-safe.
 * <p>
 * On every worker that accepts work, {@code protectedAllocation + guaranteeReserve} stays
 * within the capacity. Everything else on the worker can be preempted, so all
 * reservations can be reclaimed at the same time, and a placement only has to be checked
 * on its own workers. A reservation that cannot be placed, because workers were lost or
 * protected work is in the way, is at risk; it is placed as soon as capacity becomes
 * available.
 */
final class GuaranteeAllocator {

	/** Closest adjacency first, then the largest shape. */
	private static final Comparator<GuaranteeReservation> TIGHTEST_FIRST = Comparator
		.comparing((GuaranteeReservation reservation) -> reservation.shape.adjacency())
		.thenComparing((reservation) -> -reservation.shape.total().accelerators())
		.thenComparing((reservation) -> -reservation.shape.total().cores())
		.thenComparing((reservation) -> reservation.customer);

	/**
	 * Moving every reservation is expensive; within this interval after a rebuild,
	 * reservations are only placed one by one.
	 */
	private static final long MIN_REBUILD_INTERVAL_MILLIS = 1_000;

	private static final long REBUILD_INTERVAL_MILLIS_PER_RESERVATION = 5;

	/** Reservations are not placed on workers that are on probation. */
	static final Predicate<WorkerNode> NOT_ON_PROBATION = (worker) -> !worker.probation;

	private static final double MAX_HOLD_MILLIS = 30_000;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final GangPlacer placer;

	private final Map<CustomerId, List<GuaranteeReservation>> reservations = new TreeMap<>();

	private final Set<GuaranteeReservation> unplaced = new LinkedHashSet<>();

	/**
	 * Customers whose reservations changed since the last {@link #takeChangedCustomers}.
	 */
	private final Set<CustomerId> changedCustomers = new LinkedHashSet<>();

	private long nextRebuildAtMillis = Long.MIN_VALUE;

	GuaranteeAllocator(SchedulerContext context, Fleet fleet, GangPlacer placer) {
		this.context = context;
		this.fleet = fleet;
		this.placer = placer;
	}

	/**
	 * Applies the guarantees of a configuration.
	 * @param configuration the configuration
	 */
	void configure(Configuration configuration) {
		for (CustomerId customer : new ArrayList<>(this.reservations.keySet())) {
			if (!configuration.customers().containsKey(customer)) {
				withdraw(this.reservations.remove(customer));
			}
		}
		for (Customer customer : new TreeMap<>(configuration.customers()).values()) {
			configure(customer);
		}
		this.nextRebuildAtMillis = this.context.now;
		placeOrRebuild();
	}

	/** Places the unplaced reservations; if some remain, rebuilds the layout when due. */
	void placeOrRebuild() {
		if (this.unplaced.isEmpty() || placeUnplaced()) {
			return;
		}
		if (this.context.now >= this.nextRebuildAtMillis) {
			long intervalMillis = Math.max(MIN_REBUILD_INTERVAL_MILLIS,
					allReservations().size() * REBUILD_INTERVAL_MILLIS_PER_RESERVATION);
			this.nextRebuildAtMillis = this.context.now + intervalMillis;
			rebuildLayout();
		}
	}

	/**
	 * Returns and clears the customers whose reservations changed since the last call.
	 * @return the customers
	 */
	List<CustomerId> takeChangedCustomers() {
		List<CustomerId> taken = new ArrayList<>(this.changedCustomers);
		this.changedCustomers.clear();
		return taken;
	}

	/**
	 * Whether work that is protected from preemption may be placed on a worker. It may
	 * not where an unplaced reservation would fit if the worker were empty, since the
	 * reservation would have to wait for that work to end.
	 * @param worker the worker
	 * @return true if it may
	 */
	boolean allowsProtectedWork(WorkerNode worker) {
		for (GuaranteeReservation reservation : this.unplaced) {
			if (fitsWhenEmpty(worker, reservation.shape)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Whether any worker has capacity for a task in addition to all reservations on it,
	 * whether these are in use or not.
	 * @param need the resources of the task
	 * @return true if there is such a worker
	 */
	boolean hasCapacityBesideGuarantees(Resources need) {
		for (WorkerNode worker : this.fleet.workers()) {
			ResourceSum left = new ResourceSum();
			left.add(worker.capacity(), 1);
			left.add(need, -1);
			for (GuaranteeReservation.WorkerPortion portion : worker.portions) {
				left.add(portion.reservation.shape.perMember(), -portion.memberCount);
			}
			if (worker.isAccepting() && left.isNonNegative()) {
				return true;
			}
		}
		return false;
	}

	private boolean fitsWhenEmpty(WorkerNode worker, GangShape shape) {
		if (shape.adjacency() != Adjacency.WORKER && shape.adjacency() != Adjacency.RACK) {
			return true;
		}
		List<WorkerNode> domain = (shape.adjacency() == Adjacency.WORKER) ? List.of(worker) : worker.rack.workers;
		int members = 0;
		for (WorkerNode each : domain) {
			if (each.isAccepting()) {
				members += FleetCapacity.countFitting(shape.perMember(), each.capacity());
			}
		}
		return members >= shape.members();
	}

	Set<GuaranteeReservation> unplaced() {
		return this.unplaced;
	}

	List<GuaranteeReservation> reservations(CustomerId customer) {
		return this.reservations.getOrDefault(customer, List.of());
	}

	List<GuaranteeReservation> allReservations() {
		List<GuaranteeReservation> all = new ArrayList<>();
		this.reservations.values().forEach(all::addAll);
		return all;
	}

	/**
	 * Whether a job and the resources that its customer already uses are within the sum
	 * of the customer's guarantees.
	 * @param job the job
	 * @return true if so
	 */
	boolean isWithinGuarantees(JobState job) {
		ResourceSum left = new ResourceSum();
		for (GuaranteeReservation reservation : reservations(job.spec.customer())) {
			left.add(reservation.shape.total(), 1);
		}
		left.subtract(job.queue.customer.used);
		left.add(job.spec.shape().total(), -1);
		return left.isNonNegative();
	}

	/**
	 * Finds workers inside a reservation for the members of a gang.
	 * @param shape the gang
	 * @param reservation the reservation
	 * @return a worker for each member, null if the gang does not fit the unused rest of
	 * the reservation
	 */
	List<WorkerNode> findWorkersInside(GangShape shape, GuaranteeReservation reservation) {
		if (!reservation.isPlaced()) {
			return null;
		}
		Map<Object, List<WorkerNode>> workersByDomain = new LinkedHashMap<>();
		for (GuaranteeReservation.WorkerPortion portion : reservation.portions) {
			List<WorkerNode> found = workersByDomain.computeIfAbsent(adjacencyDomain(shape.adjacency(), portion.worker),
					(domain) -> new ArrayList<>());
			for (int slots = portion.slots(shape.perMember()); slots > 0 && found.size() < shape.members(); slots--) {
				found.add(portion.worker);
			}
			if (found.size() == shape.members()) {
				return found;
			}
		}
		return null;
	}

	/**
	 * Moves a vacant reservation, or places it for the first time.
	 * @param reservation the reservation
	 * @param memberWorkers a worker for each member
	 */
	void place(GuaranteeReservation reservation, List<WorkerNode> memberWorkers) {
		unplace(reservation);
		Map<WorkerNode, Integer> members = new LinkedHashMap<>();
		for (WorkerNode worker : memberWorkers) {
			members.merge(worker, 1, Integer::sum);
		}
		members.forEach((worker, count) -> {
			GuaranteeReservation.WorkerPortion portion = new GuaranteeReservation.WorkerPortion(reservation, worker,
					count);
			reservation.portions.add(portion);
			worker.portions.add(portion);
			portion.addToWorker(1);
			this.fleet.markChanged(worker);
		});
		this.unplaced.remove(reservation);
		this.changedCustomers.add(reservation.customer);
	}

	/**
	 * Removes a reservation from its workers.
	 * @param reservation the reservation
	 */
	void unplace(GuaranteeReservation reservation) {
		setHeld(reservation, false);
		for (GuaranteeReservation.WorkerPortion portion : reservation.portions) {
			portion.addToWorker(-1);
			portion.worker.portions.remove(portion);
			this.fleet.markChanged(portion.worker);
		}
		reservation.portions.clear();
		reservation.degraded = false;
	}

	/**
	 * Assigns an attempt of the owner to a reservation.
	 * @param reservation the reservation
	 * @param gang the attempt, with the workers of its members
	 */
	void attach(GuaranteeReservation reservation, Gang gang) {
		setHeld(reservation, false);
		gang.guaranteeReservation = reservation;
		reservation.ownerGangs.add(gang);
		addOwnerUsage(reservation, gang, 1);
	}

	/**
	 * Returns a member's resources to the reservation when its allocation is released.
	 * @param member the member
	 */
	void release(Member member) {
		GuaranteeReservation reservation = member.gang.guaranteeReservation;
		if (reservation == null) {
			return;
		}
		GuaranteeReservation.WorkerPortion portion = findPortion(reservation, member.worker);
		if (portion != null) {
			addOwnerUsage(portion, member.gang.job.spec.shape().perMember(), -1);
		}
		if (member.gang.allocatedCount > 0) {
			return;
		}
		completeDetach(member.gang, reservation);
	}

	/**
	 * Removes an attempt from its reservation while its members keep their allocations.
	 * @param gang the attempt
	 */
	void detach(Gang gang) {
		GuaranteeReservation reservation = gang.guaranteeReservation;
		for (Member member : gang.members) {
			GuaranteeReservation.WorkerPortion portion = member.allocated ? findPortion(reservation, member.worker)
					: null;
			if (portion != null) {
				addOwnerUsage(portion, gang.job.spec.shape().perMember(), -1);
			}
		}
		completeDetach(gang, reservation);
	}

	private void completeDetach(Gang gang, GuaranteeReservation reservation) {
		gang.guaranteeReservation = null;
		reservation.ownerGangs.remove(gang);
		this.changedCustomers.add(reservation.customer);
		if (reservation.isVacant() && reservation.isPlaced()) {
			holdAfterUse(reservation);
		}
		if (reservation.isVacant() && reservation.withdrawn) {
			unplace(reservation);
		}
		else if (reservation.isVacant() && reservation.degraded) {
			unplace(reservation);
			this.unplaced.add(reservation);
		}
	}

	/**
	 * Handles a worker that accepts no more work: reservations on it must be placed
	 * elsewhere.
	 * @param worker the worker
	 */
	void onWorkerUnavailable(WorkerNode worker) {
		for (GuaranteeReservation.WorkerPortion portion : new ArrayList<>(worker.portions)) {
			GuaranteeReservation reservation = portion.reservation;
			if (reservation.isVacant()) {
				unplace(reservation);
				this.unplaced.add(reservation);
			}
			else {
				reservation.degraded = true;
			}
		}
	}

	/**
	 * Handles a worker that accepts work again: reservations in use on it are no longer
	 * degraded if all of their other workers are available too.
	 * @param worker the worker
	 */
	void onWorkerAvailable(WorkerNode worker) {
		for (GuaranteeReservation.WorkerPortion portion : worker.portions) {
			GuaranteeReservation reservation = portion.reservation;
			reservation.degraded = false;
			for (GuaranteeReservation.WorkerPortion other : reservation.portions) {
				reservation.degraded |= !other.worker.isTrusted();
			}
		}
	}

	/**
	 * Unplaces reservations that no longer fit on a worker, because its capacity shrank
	 * or it was found to run protected work.
	 * @param worker the worker
	 */
	void unplaceExcess(WorkerNode worker) {
		for (GuaranteeReservation.WorkerPortion portion : new ArrayList<>(worker.portions)) {
			if (fitsCapacity(worker)) {
				return;
			}
			if (portion.reservation.isVacant()) {
				unplace(portion.reservation);
				this.unplaced.add(portion.reservation);
			}
		}
	}

	private static boolean fitsCapacity(WorkerNode worker) {
		return CapacityView.RECLAIMABLE.accelerators(worker) >= 0 && CapacityView.RECLAIMABLE.cores(worker) >= 0
				&& CapacityView.RECLAIMABLE.memoryMb(worker) >= 0;
	}

	/**
	 * Keeps borrowers out of a reservation for some time after its use. The hold lasts
	 * until the cost of the idle capacity equals the cost of the last eviction of
	 * borrowers, so that the total loss is at most twice the minimum, whatever the owner
	 * does next.
	 * @param reservation the reservation
	 */
	private void holdAfterUse(GuaranteeReservation reservation) {
		long millis = (long) Math.min(MAX_HOLD_MILLIS,
				1000 * reservation.lastEvictionLoss / Evictor.acceleratorEquivalents(reservation.shape));
		if (millis <= 0 || !this.context.policy.isEnabled(JobFeature.SPOT_KEEPING)) {
			return;
		}
		setHeld(reservation, true);
		reservation.holdGeneration++;
		int generation = reservation.holdGeneration;
		this.context.timers.schedule(this.context.now + millis, () -> {
			if (reservation.holdGeneration == generation && reservation.held) {
				setHeld(reservation, false);
				reservation.lastEvictionLoss = 0;
			}
		});
	}

	private void setHeld(GuaranteeReservation reservation, boolean held) {
		if (reservation.held == held) {
			return;
		}
		for (GuaranteeReservation.WorkerPortion portion : reservation.portions) {
			portion.addToWorker(-1);
		}
		reservation.held = held;
		for (GuaranteeReservation.WorkerPortion portion : reservation.portions) {
			portion.addToWorker(1);
			this.fleet.markChanged(portion.worker);
		}
	}

	private void configure(Customer customer) {
		Map<GangShape, Integer> wanted = new LinkedHashMap<>();
		for (GuaranteedShape guarantee : customer.guarantees()) {
			wanted.merge(guarantee.shape(), guarantee.gangs(), Integer::sum);
		}
		List<GuaranteeReservation> kept = new ArrayList<>();
		List<GuaranteeReservation> surplus = new ArrayList<>();
		List<GuaranteeReservation> existing = new ArrayList<>(reservations(customer.id()));
		existing.sort(Comparator.comparing(GuaranteeReservation::isVacant));
		for (GuaranteeReservation reservation : existing) {
			boolean stays = wanted.getOrDefault(reservation.shape, 0) > 0;
			wanted.computeIfPresent(reservation.shape, (shape, count) -> count - 1);
			(stays ? kept : surplus).add(reservation);
		}
		withdraw(surplus);
		wanted.forEach((shape, count) -> {
			for (int i = 0; i < count; i++) {
				GuaranteeReservation reservation = new GuaranteeReservation(customer.id(), shape);
				kept.add(reservation);
				this.unplaced.add(reservation);
			}
		});
		this.reservations.put(customer.id(), kept);
	}

	private void withdraw(List<GuaranteeReservation> withdrawn) {
		for (GuaranteeReservation reservation : withdrawn) {
			this.unplaced.remove(reservation);
			reservation.withdrawn = true;
			if (reservation.isVacant()) {
				unplace(reservation);
			}
		}
	}

	private boolean placeUnplaced() {
		List<GuaranteeReservation> sorted = new ArrayList<>(this.unplaced);
		sorted.sort(TIGHTEST_FIRST);
		GangShape lastFailedShape = null;
		for (GuaranteeReservation reservation : sorted) {
			if (reservation.shape.equals(lastFailedShape)) {
				continue;
			}
			List<WorkerNode> memberWorkers = findMemberWorkers(reservation.shape);
			if (memberWorkers == null) {
				lastFailedShape = reservation.shape;
				continue;
			}
			place(reservation, memberWorkers);
		}
		return this.unplaced.isEmpty();
	}

	/**
	 * Computes the layout anew and keeps the result only if it places more reservations.
	 * Reservations with only small preemptible gangs are moved as well; these gangs
	 * continue as borrowers, which is a smaller loss than a guarantee that cannot be
	 * reclaimed at all.
	 */
	private void rebuildLayout() {
		Map<GuaranteeReservation, List<WorkerNode>> previousLayout = new LinkedHashMap<>();
		Map<Gang, GuaranteeReservation> detachedGangs = new LinkedHashMap<>();
		for (GuaranteeReservation reservation : allReservations()) {
			if (reservation.isPlaced() && hasOnlySmallPreemptibleGangs(reservation)) {
				previousLayout.put(reservation, reservation.memberWorkers());
				reservation.ownerGangs.forEach((gang) -> detachedGangs.put(gang, reservation));
			}
		}
		detachedGangs.keySet().forEach(this::release);
		Set<GuaranteeReservation> previouslyUnplaced = new LinkedHashSet<>(this.unplaced);
		previousLayout.keySet().forEach(this::unplace);
		this.unplaced.addAll(previousLayout.keySet());
		placeUnplaced();
		if (this.unplaced.size() < previouslyUnplaced.size()) {
			return;
		}
		previousLayout.keySet().forEach(this::unplace);
		previouslyUnplaced.forEach(this::unplace);
		previousLayout.forEach(this::place);
		this.unplaced.clear();
		this.unplaced.addAll(previouslyUnplaced);
		detachedGangs.forEach((gang, reservation) -> {
			attach(reservation, gang);
			this.fleet.protectFromPreemption(gang);
		});
	}

	private void release(Gang gang) {
		detach(gang);
		this.fleet.allowPreemption(gang);
	}

	private static boolean hasOnlySmallPreemptibleGangs(GuaranteeReservation reservation) {
		for (Gang gang : reservation.ownerGangs) {
			boolean small = Evictor.acceleratorEquivalents(gang.job) * 2 < Evictor
				.acceleratorEquivalents(reservation.shape);
			if (!small || !gang.job.isPreemptible() || !gang.isActive()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Finds workers for a reservation, preferably with free capacity, so that no work is
	 * evicted when the reservation is reclaimed.
	 * @param shape the gang
	 * @return a worker for each member, null if it does not fit
	 */
	private List<WorkerNode> findMemberWorkers(GangShape shape) {
		List<WorkerNode> memberWorkers = this.placer.findWorkers(shape, CapacityView.UNRESERVED, NOT_ON_PROBATION);
		return (memberWorkers != null) ? memberWorkers
				: this.placer.findWorkers(shape, CapacityView.RECLAIMABLE, NOT_ON_PROBATION);
	}

	private void addOwnerUsage(GuaranteeReservation reservation, Gang gang, int factor) {
		for (Member member : gang.members) {
			GuaranteeReservation.WorkerPortion portion = (member.outcome == null)
					? findPortion(reservation, member.worker) : null;
			if (portion != null) {
				addOwnerUsage(portion, gang.job.spec.shape().perMember(), factor);
			}
		}
	}

	private void addOwnerUsage(GuaranteeReservation.WorkerPortion portion, Resources need, int factor) {
		portion.addToWorker(-1);
		portion.ownerUsage.add(need, factor);
		portion.addToWorker(1);
		this.fleet.markChanged(portion.worker);
	}

	private static GuaranteeReservation.WorkerPortion findPortion(GuaranteeReservation reservation, WorkerNode worker) {
		if (worker == null) {
			return null;
		}
		for (GuaranteeReservation.WorkerPortion portion : worker.portions) {
			if (portion.reservation == reservation) {
				return portion;
			}
		}
		return null;
	}

	private static Object adjacencyDomain(Adjacency adjacency, WorkerNode worker) {
		return switch (adjacency) {
			case WORKER -> worker;
			case RACK -> worker.rack;
			case ZONE -> worker.rack.zone;
			case ANY -> Adjacency.ANY;
		};
	}

}
