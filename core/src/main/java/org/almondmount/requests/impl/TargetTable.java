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
 * Holds the targets and selects among them. Not thread-safe.
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
	 * Whether the target can be sent new requests, now or as soon as a slot is free.
	 * @param configuration the accepted configuration
	 * @param target the target
	 * @return true if it can
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
	 * Whether there is a target that was not tried. A target that has just joined counts
	 * even if it has not lent any slots yet: it lends them some milliseconds later, when
	 * other entries have returned them. During a rolling restart it may be the only
	 * target, and a request that the draining target did not start would otherwise be
	 * refused.
	 * @param now the time
	 * @param configuration the accepted configuration
	 * @param triedTargets the targets to exclude
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
	 * Whether there are targets that cannot serve only because their zone is out of
	 * service.
	 * @param configuration the accepted configuration
	 * @return true if there is such a target
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
	 * Selects a target with a free slot by the power of two random choices, preferring
	 * targets in the entry's own zone.
	 * @param now the time
	 * @param configuration the accepted configuration
	 * @param triedTargets the targets to exclude
	 * @return the target, or empty if none has a free slot
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
	 * Whether another target may be ejected. With two or more targets at least one may be
	 * ejected.
	 * @param now the time
	 * @return false if the share of ejected targets is at its limit
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
