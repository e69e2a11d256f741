package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.jobs.JobFeature;
import org.almondmount.jobs.JobPolicy;
import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.Resources;

/**
 * Checks whether all guaranteed shapes of a configuration fit on the empty fleet at the
 * same time. Zones that are out are not used. The layout is computed greedily, in two
 * orders, so a configuration that only a more thorough search could lay out is reported
 * as not fitting. Not thread-safe.
 */
final class GuaranteeFeasibilityCheck {

	private final Configuration configuration;

	private final Fleet fleet = new Fleet();

	private final GangPlacer placer;

	private final GuaranteeAllocator guaranteeAllocator;

	GuaranteeFeasibilityCheck(Fleet actualFleet, Configuration configuration, JobPolicy policy) {
		this.configuration = configuration;
		SchedulerContext context = new SchedulerContext(policy);
		context.configuration = configuration;
		for (ZoneNode zone : actualFleet.zones()) {
			this.fleet.zone(zone.id).accepting = configuration.zone(zone.id).acceptsWork();
		}
		for (WorkerNode worker : actualFleet.workers()) {
			if (worker.present && !worker.leaving) {
				this.fleet.join(worker.info);
			}
		}
		this.placer = new GangPlacer(this.fleet, policy.isEnabled(JobFeature.PACKING));
		this.guaranteeAllocator = new GuaranteeAllocator(context, this.fleet, this.placer);
		this.guaranteeAllocator.configure(configuration);
	}

	Set<GuaranteeReservation> unplaced() {
		return this.guaranteeAllocator.unplaced();
	}

	/**
	 * Describes each guaranteed gang that could not be placed.
	 * @return one sentence for each of these gangs
	 */
	List<String> describeUnplaced() {
		List<String> sentences = new ArrayList<>();
		for (GuaranteeReservation reservation : this.guaranteeAllocator.unplaced()) {
			sentences.add("Customer " + reservation.customer + " could not reclaim " + describeShape(reservation.shape)
					+ " until workers or zones become available again.");
		}
		return sentences;
	}

	/**
	 * Describes a shape that does not fit, the largest shape that would, and where.
	 * @param preferredCustomer the customer whose change is planned; its shapes are
	 * reported in preference to others
	 * @return a sentence
	 */
	String explainMisfit(CustomerId preferredCustomer) {
		GuaranteeReservation misfit = null;
		for (GuaranteeReservation reservation : this.guaranteeAllocator.unplaced()) {
			if (misfit == null || reservation.customer.equals(preferredCustomer)) {
				misfit = reservation;
			}
		}
		if (misfit == null) {
			return "all guaranteed shapes fit";
		}
		int requestedGangs = countRequestedGangs(misfit);
		String prefix = "customer " + misfit.customer + ": " + (requestedGangs - countUnplacedGangs(misfit)) + " of "
				+ requestedGangs + " gangs fit; " + describeShape(misfit.shape)
				+ " does not fit beside all other guaranteed shapes";
		return appendLargestFitting(misfit.shape, prefix);
	}

	private int countRequestedGangs(GuaranteeReservation misfit) {
		int requested = 0;
		for (GuaranteedShape guaranteed : this.configuration.customers().get(misfit.customer).guarantees()) {
			if (guaranteed.shape().equals(misfit.shape)) {
				requested += guaranteed.gangs();
			}
		}
		return requested;
	}

	private int countUnplacedGangs(GuaranteeReservation misfit) {
		int unplaced = 0;
		for (GuaranteeReservation reservation : this.guaranteeAllocator.unplaced()) {
			if (reservation.customer.equals(misfit.customer) && reservation.shape.equals(misfit.shape)) {
				unplaced++;
			}
		}
		return unplaced;
	}

	private String appendLargestFitting(GangShape shape, String prefix) {
		int fits = 0;
		int tooMany = shape.members();
		List<WorkerNode> fittingWorkers = null;
		while (tooMany - fits > 1) {
			int members = (fits + tooMany) / 2;
			List<WorkerNode> workers = findWorkers(shape.perMember(), members, shape);
			if (workers != null) {
				fittingWorkers = workers;
				fits = members;
			}
			else {
				tooMany = members;
			}
		}
		if (fittingWorkers != null) {
			return prefix + "; the largest gang that fits has " + fits + " members, "
					+ describeLocation(shape, fittingWorkers.get(0));
		}
		for (int accelerators = shape.perMember().accelerators() - 1; accelerators > 0; accelerators--) {
			Resources need = new Resources(accelerators, shape.perMember().cores(), shape.perMember().memoryMb());
			List<WorkerNode> workers = findWorkers(need, shape.members(), shape);
			if (workers != null) {
				return prefix + "; the largest gang that fits has " + accelerators + " accelerators per member, "
						+ describeLocation(shape, workers.get(0));
			}
		}
		return prefix + "; no smaller one would fit either";
	}

	private List<WorkerNode> findWorkers(Resources need, int members, GangShape shape) {
		return this.placer.findWorkers(new GangShape(members, need, shape.adjacency()), CapacityView.RECLAIMABLE,
				(worker) -> true);
	}

	private static String describeLocation(GangShape shape, WorkerNode worker) {
		return switch (shape.adjacency()) {
			case WORKER -> "on worker " + worker.info.id();
			case RACK -> "in rack " + worker.rack.id + " of zone " + worker.rack.zone.id;
			case ZONE -> "in zone " + worker.rack.zone.id;
			case ANY -> "across the fleet";
		};
	}

	static String describeShape(GangShape shape) {
		Resources need = shape.perMember();
		String adjacencyText = switch (shape.adjacency()) {
			case WORKER -> "on one worker";
			case RACK -> "in one rack";
			case ZONE -> "in one availability zone";
			case ANY -> "anywhere";
		};
		return "a gang of " + shape.members() + " members with " + need.accelerators() + " accelerators, "
				+ need.cores() + " cores and " + need.memoryMb() + " MiB each, " + adjacencyText;
	}

}
