package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.Resources;
import org.almondmount.model.ZoneId;
import org.almondmount.plan.Intent;
import org.almondmount.plan.PlanEffects;

/**
 * Works out what an intent would do. Changes nothing. Not thread-safe.
 */
final class PlanPreview {

	private static final int SENTENCES = 20;

	private final Desk desk;

	private final Fleet fleet;

	private final JobBook book;

	private final GuaranteeAllocator ledger;

	private final Evictor evictor;

	private final GangPlacer placer;

	PlanPreview(Desk desk, Fleet fleet, JobBook book, GuaranteeAllocator ledger, Evictor evictor, GangPlacer placer) {
		this.desk = desk;
		this.fleet = fleet;
		this.book = book;
		this.ledger = ledger;
		this.evictor = evictor;
		this.placer = placer;
	}

	PlanEffects preview(Intent intent) {
		Configuration planned = intent.applyTo(this.desk.configuration);
		GuaranteeFeasibilityCheck layout = new GuaranteeFeasibilityCheck(this.fleet, planned, this.desk.policy);
		if (intent instanceof Intent.PutCustomer put) {
			return putCustomer(put.customer(), planned, layout);
		}
		if (intent instanceof Intent.RemoveCustomer remove) {
			return removeCustomer(remove.customer());
		}
		if (intent instanceof Intent.SetZone zone && !zone.state().acceptsWork()) {
			return zoneOut(zone.zone(), layout);
		}
		if (intent instanceof Intent.SetZone zone) {
			return remarks(List.of("Waiting work is placed in zone " + zone.zone()
					+ " first; nothing that runs is moved back without need."), layout.describeUnplaced());
		}
		return remarks(List.of("It is in force as soon as it is confirmed; no running work is touched."),
				layout.describeUnplaced());
	}

	private PlanEffects putCustomer(Customer customer, Configuration planned, GuaranteeFeasibilityCheck layout) {
		if (!layout.unplaced().isEmpty() && !onlyLess(customer)) {
			return refused(layout.explainMisfit(customer.id()));
		}
		List<String> remarks = new ArrayList<>();
		remarks.add("All " + count(planned) + " guaranteed gangs of " + planned.customers().size()
				+ " customers can be laid out at the same time.");
		if (runsOnceOnly()) {
			remarks.add("Work that may not be repeated is left where it runs; a new spot under it is ready"
					+ " when it has ended.");
		}
		return remarks(remarks, layout.describeUnplaced());
	}

	/**
	 * A customer that only gives up some of its guarantees is never refused.
	 * @param customer the customer
	 * @return true if so
	 */
	private boolean onlyLess(Customer customer) {
		Customer before = this.desk.configuration.customers().get(customer.id());
		Map<GangShape, Integer> had = new HashMap<>();
		if (before != null) {
			before.guarantees().forEach((each) -> had.merge(each.shape(), each.gangs(), Integer::sum));
		}
		for (GuaranteedShape guarantee : customer.guarantees()) {
			int left = had.merge(guarantee.shape(), -guarantee.gangs(), Integer::sum);
			if (left < 0) {
				return false;
			}
		}
		return true;
	}

	private PlanEffects removeCustomer(CustomerId customer) {
		List<JobId> stops = new ArrayList<>();
		for (JobState job : this.book.jobs()) {
			if (job.ending == null && job.spec.customer().equals(customer)) {
				stops.add(job.id);
			}
		}
		return new PlanEffects(Optional.empty(), List.of(), stops, List.of(),
				List.of("Its waiting and running jobs are cancelled and its guaranteed shapes are given up."));
	}

	private PlanEffects zoneOut(ZoneId id, GuaranteeFeasibilityCheck layout) {
		ZoneNode zone = this.fleet.zone(id);
		List<JobId> moves = new ArrayList<>();
		List<JobId> stops = new ArrayList<>();
		Map<WorkerNode, ResourceSum> promised = new HashMap<>();
		int leftToEnd = 0;
		for (Gang gang : gangs(zone)) {
			boolean room = findRoom(gang, zone, promised);
			boolean mayMove = gang.job.spec.checkpoints() || gang.job.spec.repeatable();
			((room && mayMove) ? moves : stops).add(gang.job.id);
			leftToEnd += gang.job.spec.checkpoints() ? 0 : 1;
		}
		List<String> remarks = new ArrayList<>();
		remarks.add("Nothing starts in zone " + id + " from the moment it is confirmed.");
		remarks.add(moves.size() + " jobs checkpoint and find room elsewhere now, " + stops.size()
				+ " have to stop and wait.");
		if (leftToEnd > 0) {
			remarks.add(leftToEnd + " jobs can't checkpoint: they may run on until the zone's grace is over.");
		}
		return new PlanEffects(Optional.empty(), moves, stops, layout.describeUnplaced(), remarks);
	}

	private List<Gang> gangs(ZoneNode zone) {
		Set<Gang> gangs = new LinkedHashSet<>();
		for (RackNode rack : zone.racks) {
			for (WorkerNode worker : rack.workers) {
				worker.members.forEach((member) -> gangs.add(member.gang));
			}
		}
		gangs.removeIf((gang) -> gang.job.current != gang);
		List<Gang> sorted = new ArrayList<>(gangs);
		sorted.sort(Comparator.comparingDouble(this.evictor::loss).reversed());
		return sorted;
	}

	private boolean findRoom(Gang gang, ZoneNode without, Map<WorkerNode, ResourceSum> promised) {
		Resources need = gang.job.spec.shape().perMember();
		List<WorkerNode> places = this.placer.findWorkers(gang.job.spec.shape(), CapacityView.BORROWABLE, (worker) -> {
			ResourceSum taken = promised.get(worker);
			boolean left = taken == null
					|| CapacityView.BORROWABLE.accelerators(worker) - taken.accelerators >= need.accelerators();
			return left && worker.rack.zone != without;
		});
		if (places == null) {
			return gang.firm && !this.ledger.unplaced().contains(gang.spot) && gang.spot != null;
		}
		for (WorkerNode worker : places) {
			promised.computeIfAbsent(worker, (node) -> new ResourceSum()).add(need, 1);
		}
		return true;
	}

	private boolean runsOnceOnly() {
		for (JobState job : this.book.jobs()) {
			if (job.current != null && !job.spec.repeatable()) {
				return true;
			}
		}
		return false;
	}

	private static PlanEffects refused(String detail) {
		Refusal refusal = Refusal.notRun(RefusalReason.GUARANTEE_DOES_NOT_FIT, detail);
		return new PlanEffects(Optional.of(refusal), List.of(), List.of(), List.of(), List.of());
	}

	private static PlanEffects remarks(List<String> remarks, List<String> atRisk) {
		List<String> shown = (atRisk.size() > SENTENCES) ? atRisk.subList(0, SENTENCES) : atRisk;
		return new PlanEffects(Optional.empty(), List.of(), List.of(), shown, remarks);
	}

	private static int count(Configuration configuration) {
		int count = 0;
		for (Customer customer : configuration.customers().values()) {
			for (GuaranteedShape guarantee : customer.guarantees()) {
				count += guarantee.gangs();
			}
		}
		return count;
	}

}
