package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;

/**
 * Explains in sentences the current state of a job. Not thread-safe.
 */
final class Explainer {

	private static final int PERCENT = 100;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final GuaranteeAllocator guaranteeAllocator;

	private final WaitingJobReservations reservations;

	Explainer(SchedulerContext context, Fleet fleet, GuaranteeAllocator guaranteeAllocator,
			WaitingJobReservations reservations) {
		this.context = context;
		this.fleet = fleet;
		this.guaranteeAllocator = guaranteeAllocator;
		this.reservations = reservations;
	}

	List<String> explain(JobState job) {
		List<String> lines = new ArrayList<>(job.explanations());
		if (job.outcome != null) {
			return lines;
		}
		if (job.current != null) {
			lines.add(describeStage(job.current));
			return lines;
		}
		if (!this.context.startsAllowed) {
			lines.add("No job is started at present: the state of the zones or of the scheduler lease is uncertain.");
		}
		if (job.queue == null) {
			lines.add(describePause(job));
			return lines;
		}
		lines.add(describePosition(job));
		lines.add(describeFreeCapacity(job.spec.shape()));
		describeGuarantee(job, lines);
		WaitingJobReservation reservation = this.reservations.get(job);
		if (reservation != null) {
			lines.add("Capacity on " + reservation.workers().size()
					+ " workers is reserved for the job, expected to be free in "
					+ Math.max(0, (reservation.readyAtMillis() - this.context.now) / 1000) + " s.");
		}
		return lines;
	}

	private static String describeStage(Gang gang) {
		String attempt = "Attempt " + gang.attempt.number();
		return switch (gang.stage) {
			case AWAITING_EVICTION -> attempt + " has a placement and waits for borrowers to be evicted from it.";
			case COMMITTING -> attempt + " has a placement, which is being written to the table.";
			case PREPARING -> attempt + " has " + gang.preparedCount + " of " + gang.members.length
					+ " members prepared by their workers; it starts when all are prepared.";
			case STARTING -> attempt + " was started; " + gang.startedCount + " of " + gang.members.length
					+ " members have reported that they run.";
			case RUNNING -> attempt + " is running on " + gang.members.length + " members"
					+ ((gang.guaranteeReservation != null) ? " inside its customer's guarantee." : ".");
			case STOPPING, ABANDONED -> attempt + " is being stopped: " + gang.stopReason + '.';
		};
	}

	private String describePause(JobState job) {
		if (!job.abandonedGangs.isEmpty()) {
			return "The job waits until its previous attempt has released its workers.";
		}
		return "The job pauses for " + Math.max(0, (job.notBefore - this.context.now) / 1000)
				+ " s because its last attempt failed.";
	}

	private String describePosition(JobState job) {
		int before = 0;
		for (ShapeQueue queue : job.queue.customer.shapes.values()) {
			before += queue.jobs.headMap(job.submissionOrder).size();
		}
		CustomerQueue customer = job.queue.customer;
		double share = this.fleet.dominantShare(customer.used) * PERCENT;
		return String.format(Locale.ROOT,
				"%d jobs of customer %s were submitted before it; the customer has %.1f%% of the fleet at weight %s.",
				before, customer.id, share, customer.weight);
	}

	private String describeFreeCapacity(GangShape shape) {
		boolean oneWorker = shape.adjacency() == Adjacency.WORKER;
		SlotIndex free = this.fleet.slotIndex(CapacityView.FREE, oneWorker ? shape.total() : shape.perMember());
		String need = "The job needs " + GuaranteeFeasibilityCheck.describeShape(shape) + "; ";
		if (oneWorker) {
			return need
					+ ((free.total() > 0) ? "a worker has this capacity free." : "no worker has this capacity free.");
		}
		if (shape.adjacency() != Adjacency.RACK) {
			return need + "there is capacity for " + free.total() + " members in the whole fleet.";
		}
		if (free.rackKeys().isEmpty()) {
			return need + "no rack has capacity for a single member.";
		}
		RackNode rack = this.fleet.rack(SlotIndex.rackOrdinal(free.rackKeys().last()));
		return need + "the rack with the most free capacity, " + rack.id + " in zone " + rack.zone.id
				+ ", has capacity for " + free.slots(rack) + '.';
	}

	private void describeGuarantee(JobState job, List<String> lines) {
		int vacant = 0;
		int unplaced = 0;
		List<GuaranteeReservation> reservations = this.guaranteeAllocator.reservations(job.spec.customer());
		for (GuaranteeReservation reservation : reservations) {
			vacant += (reservation.isPlaced() && reservation.isVacant()) ? 1 : 0;
			unplaced += reservation.isPlaced() ? 0 : 1;
		}
		if (!reservations.isEmpty()) {
			lines.add("Of its customer's " + reservations.size() + " guaranteed gangs " + vacant + " are not in use"
					+ ((unplaced > 0) ? " and " + unplaced + " are not placed at present." : "."));
		}
	}

}
