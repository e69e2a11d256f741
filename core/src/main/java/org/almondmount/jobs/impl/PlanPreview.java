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
 * Computes the effects of an intent without changing any state. Not thread-safe.
 */
final class PlanPreview {

	private static final int MAX_AT_RISK_SHOWN = 20;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final JobRegistry registry;

	private final GuaranteeAllocator guaranteeAllocator;

	private final Evictor evictor;

	private final GangPlacer placer;

	PlanPreview(SchedulerContext context, Fleet fleet, JobRegistry registry, GuaranteeAllocator guaranteeAllocator,
			Evictor evictor, GangPlacer placer) {
		this.context = context;
		this.fleet = fleet;
		this.registry = registry;
		this.guaranteeAllocator = guaranteeAllocator;
		this.evictor = evictor;
		this.placer = placer;
	}

	PlanEffects preview(Intent intent) {
		Configuration planned = intent.applyTo(this.context.configuration);
		GuaranteeFeasibilityCheck layout = new GuaranteeFeasibilityCheck(this.fleet, planned, this.context.policy);
		if (intent instanceof Intent.PutCustomer put) {
			return previewPutCustomer(put.customer(), planned, layout);
		}
		if (intent instanceof Intent.RemoveCustomer remove) {
			return previewRemoveCustomer(remove.customer());
		}
		if (intent instanceof Intent.SetZone zone && !zone.state().acceptsWork()) {
			return previewZoneOut(zone.zone(), layout);
		}
		if (intent instanceof Intent.SetZone zone) {
			return effectsWithRemarks(List.of("Waiting work is placed in zone " + zone.zone()
					+ " first; running work is moved back only if necessary."), layout.describeUnplaced());
		}
		return effectsWithRemarks(
				List.of("The change takes effect as soon as it is confirmed; no running work is affected."),
				layout.describeUnplaced());
	}

	private PlanEffects previewPutCustomer(Customer customer, Configuration planned, GuaranteeFeasibilityCheck layout) {
		if (!layout.unplaced().isEmpty() && !onlyReducesGuarantees(customer)) {
			return refusedEffects(layout.explainMisfit(customer.id()));
		}
		List<String> remarks = new ArrayList<>();
		remarks.add("All " + countGuaranteedGangs(planned) + " guaranteed gangs of " + planned.customers().size()
				+ " customers can be laid out at the same time.");
		if (isNonRepeatableWorkRunning()) {
			remarks.add("Non-repeatable work keeps running where it is; a new reservation on its workers is ready"
					+ " when it has ended.");
		}
		return effectsWithRemarks(remarks, layout.describeUnplaced());
	}

	/**
	 * Whether a customer only gives up some of its guarantees; such a change is never
	 * refused.
	 * @param customer the customer
	 * @return true if no guarantee is added
	 */
	private boolean onlyReducesGuarantees(Customer customer) {
		Customer before = this.context.configuration.customers().get(customer.id());
		Map<GangShape, Integer> previousGangs = new HashMap<>();
		if (before != null) {
			before.guarantees().forEach((each) -> previousGangs.merge(each.shape(), each.gangs(), Integer::sum));
		}
		for (GuaranteedShape guarantee : customer.guarantees()) {
			int left = previousGangs.merge(guarantee.shape(), -guarantee.gangs(), Integer::sum);
			if (left < 0) {
				return false;
			}
		}
		return true;
	}

	private PlanEffects previewRemoveCustomer(CustomerId customer) {
		List<JobId> stops = new ArrayList<>();
		for (JobState job : this.registry.jobs()) {
			if (job.outcome == null && job.spec.customer().equals(customer)) {
				stops.add(job.id);
			}
		}
		return new PlanEffects(Optional.empty(), List.of(), stops, List.of(),
				List.of("The customer's waiting and running jobs are cancelled and its guarantees are removed."));
	}

	private PlanEffects previewZoneOut(ZoneId id, GuaranteeFeasibilityCheck layout) {
		ZoneNode zone = this.fleet.zone(id);
		List<JobId> moves = new ArrayList<>();
		List<JobId> stops = new ArrayList<>();
		Map<WorkerNode, ResourceSum> allocations = new HashMap<>();
		int withoutCheckpoints = 0;
		for (Gang gang : gangs(zone)) {
			boolean fits = fitsElsewhere(gang, zone, allocations);
			boolean mayMove = gang.job.spec.savesCheckpoints() || gang.job.spec.repeatable();
			((fits && mayMove) ? moves : stops).add(gang.job.id);
			withoutCheckpoints += gang.job.spec.savesCheckpoints() ? 0 : 1;
		}
		List<String> remarks = new ArrayList<>();
		remarks.add("Nothing starts in zone " + id + " from the moment it is confirmed.");
		remarks.add(moves.size() + " jobs checkpoint and find room elsewhere now, " + stops.size()
				+ " have to stop and wait.");
		if (withoutCheckpoints > 0) {
			remarks.add(withoutCheckpoints
					+ " jobs can't checkpoint: they may keep running until the zone's grace period is over.");
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

	private boolean fitsElsewhere(Gang gang, ZoneNode excludedZone, Map<WorkerNode, ResourceSum> allocations) {
		Resources need = gang.job.spec.shape().perMember();
		List<WorkerNode> workers = this.placer.findWorkers(gang.job.spec.shape(), CapacityView.BORROWABLE, (worker) -> {
			ResourceSum taken = allocations.get(worker);
			boolean enoughLeft = taken == null
					|| CapacityView.BORROWABLE.accelerators(worker) - taken.accelerators >= need.accelerators();
			return enoughLeft && worker.rack.zone != excludedZone;
		});
		if (workers == null) {
			return gang.preemptionProtected && !this.guaranteeAllocator.unplaced().contains(gang.guaranteeReservation)
					&& gang.guaranteeReservation != null;
		}
		for (WorkerNode worker : workers) {
			allocations.computeIfAbsent(worker, (node) -> new ResourceSum()).add(need, 1);
		}
		return true;
	}

	private boolean isNonRepeatableWorkRunning() {
		for (JobState job : this.registry.jobs()) {
			if (job.current != null && !job.spec.repeatable()) {
				return true;
			}
		}
		return false;
	}

	private static PlanEffects refusedEffects(String detail) {
		Refusal refusal = Refusal.notRun(RefusalReason.GUARANTEE_DOES_NOT_FIT, detail);
		return new PlanEffects(Optional.of(refusal), List.of(), List.of(), List.of(), List.of());
	}

	private static PlanEffects effectsWithRemarks(List<String> remarks, List<String> atRisk) {
		List<String> shown = (atRisk.size() > MAX_AT_RISK_SHOWN) ? atRisk.subList(0, MAX_AT_RISK_SHOWN) : atRisk;
		return new PlanEffects(Optional.empty(), List.of(), List.of(), shown, remarks);
	}

	private static int countGuaranteedGangs(Configuration configuration) {
		int count = 0;
		for (Customer customer : configuration.customers().values()) {
			for (GuaranteedShape guarantee : customer.guarantees()) {
				count += guarantee.gangs();
			}
		}
		return count;
	}

}
