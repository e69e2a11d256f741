package org.almondmount.bench.baseline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.almondmount.jobs.Assignment;
import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;

/**
 * The free room of a fleet and a search by domain. Not thread-safe.
 */
final class Fleet {

	private final Map<WorkerId, Slot> workers = new TreeMap<>();

	void join(WorkerInfo worker, Configuration configuration) {
		Slot slot = this.workers.computeIfAbsent(worker.id(), (id) -> new Slot(worker));
		slot.up = true;
		slot.in = configuration.zone(worker.zone()).acceptsWork();
	}

	void configure(Configuration configuration) {
		for (Slot slot : this.workers.values()) {
			slot.in = configuration.zone(slot.info.zone()).acceptsWork();
		}
	}

	void lose(WorkerId worker) {
		this.workers.get(worker).up = false;
	}

	boolean inService(WorkerId worker) {
		return this.workers.get(worker).in;
	}

	void give(WorkerId worker, Resources amount) {
		Slot slot = this.workers.get(worker);
		slot.free = slot.free.plus(amount);
	}

	boolean couldEverFit(GangShape shape) {
		Map<WorkerId, Resources> empty = new HashMap<>();
		this.workers.values().forEach((slot) -> empty.put(slot.info.id(), slot.info.capacity()));
		for (List<Slot> domain : domains(shape.adjacency(), false)) {
			if (room(domain, shape, empty) >= shape.members()) {
				return true;
			}
		}
		return false;
	}

	// Takes room for the gang; empty if it does not fit now.
	List<Assignment> place(GangShape shape, Baseline kind) {
		List<Slot> best = List.of();
		int bestRoom = Integer.MAX_VALUE;
		for (List<Slot> domain : domains(shape.adjacency(), true)) {
			int room = room(domain, shape, free());
			if (room < shape.members() || room >= bestRoom) {
				continue;
			}
			best = domain;
			bestRoom = room;
			if (!kind.fullestFirst()) {
				break;
			}
		}
		if (kind.fullestFirst()) {
			best = new ArrayList<>(best);
			best.sort(Comparator.comparingInt((slot) -> slot.free.accelerators()));
		}
		return take(best, shape);
	}

	// When the running work's declared ends leave enough room for the gang.
	long earliestFit(long now, GangShape shape, Collection<BaselineJob> running) {
		List<BaselineJob> byEnd = new ArrayList<>(running);
		byEnd.sort(Comparator.comparingLong((job) -> job.declaredEnd));
		Map<WorkerId, Resources> free = free();
		for (BaselineJob job : byEnd) {
			for (Assignment member : job.placement) {
				if (!job.gone.contains(member.member())) {
					free.merge(member.worker(), job.spec.shape().perMember(), Resources::plus);
				}
			}
			for (List<Slot> domain : domains(shape.adjacency(), true)) {
				if (room(domain, shape, free) >= shape.members()) {
					return Math.max(now, job.declaredEnd);
				}
			}
		}
		return Long.MAX_VALUE;
	}

	private List<Assignment> take(List<Slot> domain, GangShape shape) {
		List<Assignment> placement = new ArrayList<>();
		for (Slot slot : domain) {
			while (placement.size() < shape.members() && shape.perMember().fitsIn(slot.free)) {
				slot.free = slot.free.minus(shape.perMember());
				placement.add(new Assignment(placement.size(), slot.info.id()));
			}
		}
		return placement;
	}

	private Map<WorkerId, Resources> free() {
		Map<WorkerId, Resources> free = new HashMap<>();
		this.workers.values().forEach((slot) -> free.put(slot.info.id(), slot.free));
		return free;
	}

	private Collection<List<Slot>> domains(Adjacency adjacency, boolean inServiceOnly) {
		Map<Object, List<Slot>> domains = new TreeMap<>();
		for (Slot slot : this.workers.values()) {
			if (!inServiceOnly || (slot.up && slot.in)) {
				domains.computeIfAbsent(key(adjacency, slot.info), (key) -> new ArrayList<>()).add(slot);
			}
		}
		return domains.values();
	}

	private static String key(Adjacency adjacency, WorkerInfo worker) {
		return switch (adjacency) {
			case WORKER -> worker.id().value();
			case RACK -> worker.zone() + "/" + worker.rack();
			case ZONE -> worker.zone().value();
			case ANY -> "";
		};
	}

	private static int room(List<Slot> domain, GangShape shape, Map<WorkerId, Resources> free) {
		int room = 0;
		for (Slot slot : domain) {
			room += copies(shape.perMember(), free.get(slot.info.id()));
		}
		return room;
	}

	private static int copies(Resources each, Resources room) {
		int copies = GangShape.MAX_MEMBERS;
		if (each.accelerators() > 0) {
			copies = Math.min(copies, room.accelerators() / each.accelerators());
		}
		if (each.cores() > 0) {
			copies = Math.min(copies, room.cores() / each.cores());
		}
		if (each.memoryMb() > 0) {
			copies = Math.min(copies, room.memoryMb() / each.memoryMb());
		}
		return copies;
	}

	private static final class Slot {

		private final WorkerInfo info;

		private Resources free;

		private boolean up;

		private boolean in;

		Slot(WorkerInfo info) {
			this.info = info;
			this.free = info.capacity();
		}

	}

}
