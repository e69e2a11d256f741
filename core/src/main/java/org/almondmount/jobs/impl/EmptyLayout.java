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
 * All guaranteed shapes of a configuration laid out at once on the empty fleet, zones
 * that are out left out. The layout is greedy, in two orders; a configuration that only a
 * cleverer search could lay out is reported as one that does not fit. Not thread-safe.
 */
final class EmptyLayout {

	private final Configuration configuration;

	private final Fleet fleet = new Fleet();

	private final Placer placer;

	private final GuaranteeLedger ledger;

	EmptyLayout(Fleet real, Configuration configuration, JobPolicy policy) {
		this.configuration = configuration;
		SchedulerContext desk = new SchedulerContext(policy);
		desk.configuration = configuration;
		for (ZoneNode zone : real.zones()) {
			this.fleet.zone(zone.id).accepting = configuration.zone(zone.id).acceptsWork();
		}
		for (WorkerNode worker : real.workers()) {
			if (worker.present && !worker.leaving) {
				this.fleet.join(worker.info);
			}
		}
		this.placer = new Placer(this.fleet, policy.isEnabled(JobFeature.PACKING));
		this.ledger = new GuaranteeLedger(desk, this.fleet, this.placer);
		this.ledger.configure(configuration);
	}

	Set<Spot> unplaced() {
		return this.ledger.unplaced();
	}

	/**
	 * A sentence for each guaranteed gang without a place.
	 * @return the sentences
	 */
	List<String> atRisk() {
		List<String> sentences = new ArrayList<>();
		for (Spot spot : this.ledger.unplaced()) {
			sentences.add("Customer " + spot.customer + " could not reclaim " + describe(spot.shape)
					+ " until workers or zones come back.");
		}
		return sentences;
	}

	/**
	 * Says which shape does not fit, the largest that would, and where.
	 * @param preferred the customer whose change is planned
	 * @return a sentence
	 */
	String explainMisfit(CustomerId preferred) {
		Spot misfit = null;
		for (Spot spot : this.ledger.unplaced()) {
			if (misfit == null || spot.customer.equals(preferred)) {
				misfit = spot;
			}
		}
		if (misfit == null) {
			return "all guaranteed shapes fit";
		}
		int asked = gangsAsked(misfit);
		String what = "customer " + misfit.customer + ": " + (asked - gangsUnplaced(misfit)) + " of " + asked
				+ " gangs fit; " + describe(misfit.shape) + " does not fit beside all other guaranteed shapes";
		return largest(misfit.shape, what);
	}

	private int gangsAsked(Spot misfit) {
		int asked = 0;
		for (GuaranteedShape guaranteed : this.configuration.customers().get(misfit.customer).guarantees()) {
			if (guaranteed.shape().equals(misfit.shape)) {
				asked += guaranteed.gangs();
			}
		}
		return asked;
	}

	private int gangsUnplaced(Spot misfit) {
		int unplaced = 0;
		for (Spot spot : this.ledger.unplaced()) {
			if (spot.customer.equals(misfit.customer) && spot.shape.equals(misfit.shape)) {
				unplaced++;
			}
		}
		return unplaced;
	}

	private String largest(GangShape shape, String what) {
		int fits = 0;
		int tooMany = shape.members();
		List<WorkerNode> where = null;
		while (tooMany - fits > 1) {
			int members = (fits + tooMany) / 2;
			List<WorkerNode> places = find(shape.perMember(), members, shape);
			if (places != null) {
				where = places;
				fits = members;
			}
			else {
				tooMany = members;
			}
		}
		if (where != null) {
			return what + "; the largest that would has " + fits + " members, " + place(shape, where.get(0));
		}
		for (int accelerators = shape.perMember().accelerators() - 1; accelerators > 0; accelerators--) {
			Resources need = new Resources(accelerators, shape.perMember().cores(), shape.perMember().memoryMb());
			List<WorkerNode> places = find(need, shape.members(), shape);
			if (places != null) {
				return what + "; the largest that would has " + accelerators + " accelerators a member, "
						+ place(shape, places.get(0));
			}
		}
		return what + "; no smaller one would fit either";
	}

	private List<WorkerNode> find(Resources need, int members, GangShape shape) {
		return this.placer.find(new GangShape(members, need, shape.adjacency()), Room.RECLAIMABLE, (worker) -> true);
	}

	private static String place(GangShape shape, WorkerNode worker) {
		return switch (shape.adjacency()) {
			case WORKER -> "on worker " + worker.info.id();
			case RACK -> "in rack " + worker.rack.id + " of zone " + worker.rack.zone.id;
			case ZONE -> "in zone " + worker.rack.zone.id;
			case ANY -> "across the fleet";
		};
	}

	static String describe(GangShape shape) {
		Resources need = shape.perMember();
		String together = switch (shape.adjacency()) {
			case WORKER -> "on one worker";
			case RACK -> "in one rack";
			case ZONE -> "in one availability zone";
			case ANY -> "anywhere";
		};
		return "a gang of " + shape.members() + " members with " + need.accelerators() + " accelerators, "
				+ need.cores() + " cores and " + need.memoryMb() + " MiB each, " + together;
	}

}
