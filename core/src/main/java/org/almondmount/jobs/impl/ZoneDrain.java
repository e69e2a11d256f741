package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.almondmount.model.Configuration;

/**
 * Moves work out of zones that are out of service and off workers that leave. Not
 * thread-safe.
 * <p>
 * Nothing new is placed there from the moment the configuration is known; attempts that
 * do not run yet are given up at once. What runs is left alone for a settling time, so
 * that a zone that flaps moves nothing; then it checkpoints and moves. What can't
 * checkpoint may run on until the grace is over.
 */
final class ZoneDrain {

	private final Desk desk;

	private final Fleet fleet;

	private final GangRunner runner;

	private final GuaranteeAllocator ledger;

	ZoneDrain(Desk desk, Fleet fleet, GangRunner runner, GuaranteeAllocator ledger) {
		this.desk = desk;
		this.fleet = fleet;
		this.runner = runner;
		this.ledger = ledger;
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
			workers(zone).forEach(accepting ? this.ledger::onWorkerAvailable : this.ledger::onWorkerUnavailable);
			if (!accepting) {
				takeOut(zone);
			}
		}
	}

	/**
	 * Moves work off a worker that leaves.
	 * @param worker the worker
	 */
	void drainWorker(WorkerNode worker) {
		this.ledger.onWorkerUnavailable(worker);
		giveUpStarting(gangs(List.of(worker)));
		suspendCheckpointing(gangs(List.of(worker)), "worker " + worker.info.id() + " is leaving");
	}

	private void takeOut(ZoneNode zone) {
		int change = zone.stateChangeCount;
		giveUpStarting(gangs(workers(zone)));
		String why = "zone " + zone.id + " is out of service";
		long settled = this.desk.now + this.desk.policy.timeouts().zoneSettle().toMillis();
		this.desk.timers.at(settled, () -> {
			if (zone.stateChangeCount == change) {
				suspendCheckpointing(gangs(workers(zone)), why);
			}
		});
		this.desk.timers.at(this.desk.now + grace(), () -> {
			if (zone.stateChangeCount == change) {
				stopRest(gangs(workers(zone)), why);
			}
		});
	}

	private void giveUpStarting(Set<Gang> gangs) {
		for (Gang gang : gangs) {
			switch (gang.stage) {
				case CLEARING, COMMITTING, PREPARING ->
					this.runner.giveUp(gang, "a worker of its place takes no new work", false);
				default -> {
				}
			}
		}
	}

	private void suspendCheckpointing(Set<Gang> gangs, String why) {
		for (Gang gang : gangs) {
			if (gang.job.spec.checkpoints() && gang.isActive()) {
				this.runner.suspend(gang, why, grace());
			}
		}
	}

	private void stopRest(Set<Gang> gangs, String why) {
		for (Gang gang : gangs) {
			if (gang.isActive()) {
				this.runner.suspend(gang, why + " and its grace is over",
						this.desk.policy.timeouts().checkpoint().toMillis());
			}
		}
	}

	private long grace() {
		String option = this.desk.configuration.options().get("zone-grace");
		return DurationOption.parse(option).orElse(this.desk.policy.timeouts().zoneGrace()).toMillis();
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
