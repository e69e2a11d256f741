package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;

/**
 * Says in sentences why a job stands where it does. Not thread-safe.
 */
final class Explainer {

	private static final int PERCENT = 100;

	private final Desk desk;

	private final Fleet fleet;

	private final GuaranteeAllocator ledger;

	private final WaitingJobReservations reservations;

	Explainer(Desk desk, Fleet fleet, GuaranteeAllocator ledger, WaitingJobReservations reservations) {
		this.desk = desk;
		this.fleet = fleet;
		this.ledger = ledger;
		this.reservations = reservations;
	}

	List<String> explain(JobState job) {
		List<String> lines = new ArrayList<>(job.sentences());
		if (job.ending != null) {
			return lines;
		}
		if (job.current != null) {
			lines.add(stage(job.current));
			return lines;
		}
		if (!this.desk.startsAllowed) {
			lines.add("Nothing starts at present: the state of the zones or the scheduler's lease is not certain.");
		}
		if (job.queue == null) {
			lines.add(pause(job));
			return lines;
		}
		lines.add(position(job));
		lines.add(room(job.spec.shape()));
		guarantee(job, lines);
		WaitingJobReservation reservation = this.reservations.get(job);
		if (reservation != null) {
			lines.add("Room on " + reservation.workers().size() + " workers is kept for it, expected to be free in "
					+ Math.max(0, (reservation.readyAtMillis() - this.desk.now) / 1000) + " s.");
		}
		return lines;
	}

	private static String stage(Gang gang) {
		String attempt = "Attempt " + gang.attempt.number();
		return switch (gang.stage) {
			case CLEARING -> attempt + " has its place and waits for borrowers to leave it.";
			case COMMITTING -> attempt + " has its place, which is being written to the table.";
			case PREPARING -> attempt + " has " + gang.prepared + " of " + gang.members.length
					+ " members held by their workers; it starts when all are.";
			case STARTING -> attempt + " was started; " + gang.started + " of " + gang.members.length
					+ " members have reported that they run.";
			case RUNNING -> attempt + " runs on " + gang.members.length + " members"
					+ ((gang.spot != null) ? " inside its customer's guarantee." : ".");
			case STOPPING, ABANDONED -> attempt + " is being stopped: " + gang.why + '.';
		};
	}

	private String pause(JobState job) {
		if (!job.abandoned.isEmpty()) {
			return "It waits until its former attempt has let go of its workers.";
		}
		return "It pauses for " + Math.max(0, (job.notBefore - this.desk.now) / 1000)
				+ " s after its last attempt did not get to run.";
	}

	private String position(JobState job) {
		int before = 0;
		for (ShapeQueue queue : job.queue.customer.shapes.values()) {
			before += queue.jobs.headMap(job.order).size();
		}
		CustomerQueue customer = job.queue.customer;
		double share = this.fleet.dominantShare(customer.used) * PERCENT;
		return String.format(Locale.ROOT,
				"%d jobs of customer %s were submitted before it; the customer has %.1f%% of the fleet at weight %s.",
				before, customer.id, share, customer.weight);
	}

	private String room(GangShape shape) {
		boolean oneWorker = shape.adjacency() == Adjacency.WORKER;
		SlotIndex free = this.fleet.slotIndex(CapacityView.FREE, oneWorker ? shape.total() : shape.perMember());
		String need = "It needs " + GuaranteeFeasibilityCheck.describeShape(shape) + "; ";
		if (oneWorker) {
			return need + ((free.total() > 0) ? "a worker has that free." : "no worker has that free.");
		}
		if (shape.adjacency() != Adjacency.RACK) {
			return need + "there is room for " + free.total() + " members in the whole fleet.";
		}
		if (free.rackKeys().isEmpty()) {
			return need + "no rack has room for a single one.";
		}
		RackNode rack = this.fleet.rack(SlotIndex.rackOrdinal(free.rackKeys().last()));
		return need + "the rack with the most room, " + rack.id + " in zone " + rack.zone.id + ", has room for "
				+ free.slots(rack) + '.';
	}

	private void guarantee(JobState job, List<String> lines) {
		int vacant = 0;
		int missing = 0;
		List<GuaranteeReservation> spots = this.ledger.reservations(job.spec.customer());
		for (GuaranteeReservation spot : spots) {
			vacant += (spot.isPlaced() && spot.isVacant()) ? 1 : 0;
			missing += spot.isPlaced() ? 0 : 1;
		}
		if (!spots.isEmpty()) {
			lines.add("Of its customer's " + spots.size() + " guaranteed gangs " + vacant + " are not in use"
					+ ((missing > 0) ? " and " + missing + " have no place at present." : "."));
		}
	}

}
