package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.almondmount.model.Configuration;

/**
 * Moves work out of zones that are out of service and off draining workers. Not
 * thread-safe.
 * <p>
 * As soon as the configuration is known, no new work is placed there, and attempts that
 * have not started are abandoned. In a zone, running work is not touched for a settling
 * time, so that a flapping zone moves no work; then it is checkpointed and moved. Work
 * that can't checkpoint may keep running until the grace period ends.
 */
final class ZoneDrain {

	private final SchedulerContext context;

	private final Fleet fleet;

	private final GangRunner gangRunner;

	private final GuaranteeAllocator guaranteeAllocator;

	ZoneDrain(SchedulerContext context, Fleet fleet, GangRunner gangRunner, GuaranteeAllocator guaranteeAllocator) {
		this.context = context;
		this.fleet = fleet;
		this.gangRunner = gangRunner;
		this.guaranteeAllocator = guaranteeAllocator;
	}

	void configure(Configuration configuration) {
		configuration.zones().keySet().forEach(this.fleet::zone);
		for (ZoneNode zone : this.fleet.zones()) {
			boolean accepting = configuration.zone(zone.id).acceptsWork();
			if (accepting == zone.accepting) {
				continue;
			}
			zone.accepting = accepting;
			zone.stateChangeCount++;
			workers(zone).forEach(this.fleet::markChanged);
			workers(zone).forEach(accepting ? this.guaranteeAllocator::onWorkerAvailable
					: this.guaranteeAllocator::onWorkerUnavailable);
			if (!accepting) {
				drainZone(zone);
			}
		}
	}

	/**
	 * Moves work off a draining worker.
	 * @param worker the worker
	 */
	void drainWorker(WorkerNode worker) {
		this.guaranteeAllocator.onWorkerUnavailable(worker);
		abandonStarting(gangs(List.of(worker)));
		suspendCheckpointable(gangs(List.of(worker)), "worker " + worker.info.id() + " is draining");
	}

	private void drainZone(ZoneNode zone) {
		int change = zone.stateChangeCount;
		abandonStarting(gangs(workers(zone)));
		String reason = "zone " + zone.id + " is out of service";
		long settledAt = this.context.now + this.context.policy.timeouts().zoneSettle().toMillis();
		this.context.timers.schedule(settledAt, () -> {
			if (zone.stateChangeCount == change) {
				suspendCheckpointable(gangs(workers(zone)), reason);
			}
		});
		this.context.timers.schedule(this.context.now + graceMillis(), () -> {
			if (zone.stateChangeCount == change) {
				suspendRemaining(gangs(workers(zone)), reason);
			}
		});
	}

	private void abandonStarting(Set<Gang> gangs) {
		for (Gang gang : gangs) {
			switch (gang.stage) {
				case AWAITING_EVICTION, COMMITTING, PREPARING ->
					this.gangRunner.abandonAndRequeue(gang, "a worker of its placement accepts no new work", false);
				default -> {
				}
			}
		}
	}

	private void suspendCheckpointable(Set<Gang> gangs, String reason) {
		for (Gang gang : gangs) {
			if (gang.job.spec.savesCheckpoints() && gang.isActive()) {
				this.gangRunner.suspend(gang, reason, graceMillis());
			}
		}
	}

	private void suspendRemaining(Set<Gang> gangs, String reason) {
		for (Gang gang : gangs) {
			if (gang.isActive()) {
				this.gangRunner.suspend(gang, reason + " and its grace period is over",
						this.context.policy.timeouts().checkpoint().toMillis());
			}
		}
	}

	private long graceMillis() {
		String option = this.context.configuration.options().get("zone-grace");
		return DurationOption.parse(option).orElse(this.context.policy.timeouts().zoneGrace()).toMillis();
	}

	private static List<WorkerNode> workers(ZoneNode zone) {
		List<WorkerNode> workers = new ArrayList<>();
		for (RackNode rack : zone.racks) {
			workers.addAll(rack.workers);
		}
		return workers;
	}

	private static Set<Gang> gangs(List<WorkerNode> workers) {
		Set<Gang> gangs = new LinkedHashSet<>();
		for (WorkerNode worker : workers) {
			for (Member member : worker.members) {
				gangs.add(member.gang);
			}
		}
		return gangs;
	}

}
