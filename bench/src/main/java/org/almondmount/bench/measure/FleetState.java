package org.almondmount.bench.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.bench.replay.AttemptRecord;
import org.almondmount.bench.replay.JobRecord;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;

/**
 * The fleet between two moments of a replay, rebuilt from its record. A worker is in
 * service while it is up and its zone is in. Not thread-safe.
 */
final class FleetState {

	private final Map<WorkerId, Place> places = new LinkedHashMap<>();

	private final Map<Adjacency, List<List<Place>>> domains = new HashMap<>();

	private final Set<JobRecord> waiting = new LinkedHashSet<>();

	private final Map<JobRecord, AttemptRecord> active = new LinkedHashMap<>();

	private final Set<AttemptRecord> working = new HashSet<>();

	private final Map<CustomerId, Integer> activeAccelerators = new HashMap<>();

	private final Map<CustomerId, Integer> waitingAccelerators = new HashMap<>();

	private Totals capacity = Totals.NONE;

	private Totals free = Totals.NONE;

	FleetState(Collection<WorkerInfo> workers) {
		for (WorkerInfo worker : workers) {
			this.places.put(worker.id(), new Place(worker));
			this.capacity = this.capacity.plus(worker.capacity());
		}
		this.free = this.capacity;
		for (Adjacency adjacency : Adjacency.values()) {
			Map<Object, List<Place>> byDomain = new LinkedHashMap<>();
			for (Place place : this.places.values()) {
				byDomain.computeIfAbsent(GuaranteeLayout.domainOf(adjacency, place.worker), (key) -> new ArrayList<>())
					.add(place);
			}
			this.domains.put(adjacency, List.copyOf(byDomain.values()));
		}
	}

	// Jobs that are submitted, neither placed nor ended.
	Set<JobRecord> waiting() {
		return this.waiting;
	}

	// Jobs with an attempt that is committed and not over.
	Map<JobRecord, AttemptRecord> active() {
		return this.active;
	}

	// Attempts whose gang runs whole.
	Set<AttemptRecord> working() {
		return this.working;
	}

	boolean inService(WorkerId worker) {
		return this.places.get(worker).inService();
	}

	// Everything that workers in service have.
	Totals capacity() {
		return this.capacity;
	}

	// What nobody holds on workers in service.
	Totals free() {
		return this.free;
	}

	// Whether one gang fits into what is free, exact for equal members.
	boolean fitsFree(GangShape shape) {
		return fits(shape, false);
	}

	// Whether one gang would fit if nothing ran.
	boolean fitsEmpty(GangShape shape) {
		return fits(shape, true);
	}

	List<WorkerInfo> workersInService() {
		List<WorkerInfo> list = new ArrayList<>();
		for (Place place : this.places.values()) {
			if (place.inService()) {
				list.add(place.worker);
			}
		}
		return list;
	}

	// Accelerators that the customer's active attempts were given.
	int activeAccelerators(CustomerId customer) {
		return this.activeAccelerators.getOrDefault(customer, 0);
	}

	// Accelerators that the customer's waiting jobs ask for.
	int waitingAccelerators(CustomerId customer) {
		return this.waitingAccelerators.getOrDefault(customer, 0);
	}

	void beginWaiting(JobRecord job) {
		if (this.waiting.add(job)) {
			count(this.waitingAccelerators, job, 1);
		}
	}

	void endWaiting(JobRecord job) {
		if (this.waiting.remove(job)) {
			count(this.waitingAccelerators, job, -1);
		}
	}

	void beginAttempt(JobRecord job, AttemptRecord attempt) {
		if (this.active.put(job, attempt) == null) {
			count(this.activeAccelerators, job, 1);
		}
	}

	void endAttempt(JobRecord job) {
		if (this.active.remove(job) != null) {
			count(this.activeAccelerators, job, -1);
		}
	}

	void take(WorkerId worker, Resources amount) {
		Place place = this.places.get(worker);
		place.free = place.free.minus(amount);
		if (place.inService()) {
			this.free = this.free.minus(amount);
		}
	}

	void give(WorkerId worker, Resources amount) {
		Place place = this.places.get(worker);
		place.free = place.free.plus(amount);
		if (place.inService()) {
			this.free = this.free.plus(amount);
		}
	}

	void up(WorkerId worker, boolean state) {
		Place place = this.places.get(worker);
		setService(place, state, place.in);
	}

	void zone(ZoneId zone, ZoneState state) {
		for (Place place : this.places.values()) {
			if (place.worker.zone().equals(zone)) {
				setService(place, place.up, state.acceptsWork());
			}
		}
	}

	private void setService(Place place, boolean up, boolean in) {
		boolean before = place.inService();
		place.up = up;
		place.in = in;
		if (before && !place.inService()) {
			this.capacity = this.capacity.minus(place.worker.capacity());
			this.free = this.free.minus(place.free);
		}
		if (!before && place.inService()) {
			this.capacity = this.capacity.plus(place.worker.capacity());
			this.free = this.free.plus(place.free);
		}
	}

	private static void count(Map<CustomerId, Integer> sums, JobRecord job, int sign) {
		sums.merge(job.planned().spec().customer(), sign * job.planned().accelerators(), Integer::sum);
	}

	private boolean fits(GangShape shape, boolean empty) {
		for (List<Place> domain : this.domains.get(shape.adjacency())) {
			int room = 0;
			for (Place place : domain) {
				if (place.inService()) {
					room += copies(shape.perMember(), empty ? place.worker.capacity() : place.free);
				}
			}
			if (room >= shape.members()) {
				return true;
			}
		}
		return false;
	}

	private static int copies(Resources each, Resources room) {
		int copies = GangShape.MAX_MEMBERS;
		copies = (each.accelerators() > 0) ? Math.min(copies, room.accelerators() / each.accelerators()) : copies;
		copies = (each.cores() > 0) ? Math.min(copies, room.cores() / each.cores()) : copies;
		return (each.memoryMb() > 0) ? Math.min(copies, room.memoryMb() / each.memoryMb()) : copies;
	}

	private static final class Place {

		private final WorkerInfo worker;

		private Resources free;

		private boolean up = true;

		private boolean in = true;

		Place(WorkerInfo worker) {
			this.worker = worker;
			this.free = worker.capacity();
		}

		boolean inService() {
			return this.up && this.in;
		}

	}

}
