package org.almondmount.requests.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.almondmount.model.Configuration;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;
import org.almondmount.requests.RequestPolicy;

/**
 * The targets and the choice among them. Not thread-safe.
 */
final class TargetTable {

	private final Map<TargetId, TargetRecord> targets = new TreeMap<>();

	private final RequestPolicy policy;

	private final RandomGenerator random;

	TargetTable(RequestPolicy policy, RandomGenerator random) {
		this.policy = policy;
		this.random = random;
	}

	TargetRecord get(TargetId id) {
		return this.targets.get(id);
	}

	Optional<TargetRecord> find(TargetId id) {
		return Optional.ofNullable(this.targets.get(id));
	}

	Collection<TargetRecord> all() {
		return this.targets.values();
	}

	TargetRecord join(long now, TargetId id, ZoneId zone, int slots) {
		TargetRecord target = new TargetRecord(id, zone, slots, now, this.policy.targets());
		this.targets.put(id, target);
		return target;
	}

	TargetRecord remove(TargetId id) {
		return this.targets.remove(id);
	}

	/**
	 * Whether the target may get new work at all, now or when a slot is free.
	 * @param configuration the accepted configuration
	 * @param target the target
	 * @return true if it may
	 */
	boolean mayServe(Configuration configuration, TargetRecord target) {
		return target.slots() > 0 && mayServeOnceSlotsAreLent(configuration, target);
	}

	private static boolean mayServeOnceSlotsAreLent(Configuration configuration, TargetRecord target) {
		return !target.draining() && configuration.zone(target.zone()).acceptsWork();
	}

	boolean anyMayServe(Configuration configuration) {
		for (TargetRecord target : this.targets.values()) {
			if (mayServe(configuration, target)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Whether a target is left that was not tried. One that has just joined counts though
	 * it has lent no slots yet: it lends them once other entries have given them back,
	 * some milliseconds later. During a rolling restart it may be the only one, and a
	 * request that the leaving one did not start would be refused beside it.
	 * @param now the time
	 * @param configuration the accepted configuration
	 * @param triedTargets targets to leave out
	 * @return true if there is one
	 */
	boolean anyUntried(long now, Configuration configuration, Set<TargetId> triedTargets) {
		long joinedAfterMillis = now - this.policy.noTargetTimeout().toMillis();
		for (TargetRecord target : this.targets.values()) {
			boolean serves = mayServe(configuration, target)
					|| mayServeOnceSlotsAreLent(configuration, target) && target.joinedAt() > joinedAfterMillis;
			if (serves && !triedTargets.contains(target.id())) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Whether targets are there that only their zone's state keeps from serving.
	 * @param configuration the accepted configuration
	 * @return true if a zone that is out is the reason
	 */
	boolean anyExcludedByZoneState(Configuration configuration) {
		for (TargetRecord target : this.targets.values()) {
			if (!target.draining() && !configuration.zone(target.zone()).acceptsWork()) {
				return true;
			}
		}
		return false;
	}

	int usableSlots(long now, Configuration configuration) {
		int slots = 0;
		for (TargetRecord target : this.targets.values()) {
			if (mayServe(configuration, target) && !target.isEjected(now)) {
				slots += target.slots();
			}
		}
		return slots;
	}

	boolean anyFreeSlot(long now, Configuration configuration) {
		for (TargetRecord target : this.targets.values()) {
			if (mayServe(configuration, target) && !target.isEjected(now) && target.hasFreeSlot(now)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Chooses a target with a free slot: the less loaded of two taken at random, in the
	 * entry's own zone if there is one.
	 * @param now the time
	 * @param configuration the accepted configuration
	 * @param triedTargets targets to leave out
	 * @return the target, or empty if none has room
	 */
	Optional<TargetRecord> choose(long now, Configuration configuration, Set<TargetId> triedTargets) {
		List<TargetRecord> inOwnZone = new ArrayList<>();
		List<TargetRecord> inOtherZones = new ArrayList<>();
		for (TargetRecord target : this.targets.values()) {
			if (!mayServe(configuration, target) || target.isEjected(now) || !target.hasFreeSlot(now)
					|| triedTargets.contains(target.id())) {
				continue;
			}
			boolean isOwnZone = this.policy.ownZone().isPresent() && this.policy.ownZone().get().equals(target.zone());
			(isOwnZone ? inOwnZone : inOtherZones).add(target);
		}
		return inOwnZone.isEmpty() ? lessLoadedOfTwo(now, inOtherZones) : lessLoadedOfTwo(now, inOwnZone);
	}

	/**
	 * Whether one more target may be ejected; at least one always may if there are two.
	 * @param now the time
	 * @return false when the share that is ejected is at its bound
	 */
	boolean mayEject(long now) {
		int ejectedCount = 0;
		for (TargetRecord target : this.targets.values()) {
			if (target.isEjected(now)) {
				ejectedCount++;
			}
		}
		int maxEjected = (int) Math.floor(this.targets.size() * this.policy.targets().maxEjectedShare());
		if (this.targets.size() > 1) {
			maxEjected = Math.max(1, maxEjected);
		}
		return ejectedCount < maxEjected;
	}

	private Optional<TargetRecord> lessLoadedOfTwo(long now, List<TargetRecord> candidates) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		TargetRecord first = candidates.get(this.random.nextInt(candidates.size()));
		TargetRecord second = candidates.get(this.random.nextInt(candidates.size()));
		return Optional.of((second.load(now) < first.load(now)) ? second : first);
	}

}
