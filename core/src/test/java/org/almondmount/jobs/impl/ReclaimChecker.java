package org.almondmount.jobs.impl;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.JobView;
import org.almondmount.model.Customer;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the invariants of a scheduler independently of its own sums: everything is
 * computed again from the tasks on the workers and the workers of the reservations. Slow.
 */
final class ReclaimChecker {

	private final VirtualFleet fleet;

	ReclaimChecker(VirtualFleet fleet) {
		this.fleet = fleet;
	}

	void check() {
		assertNoWorkerExceedsItsCapacity();
		assertAtMostOneAttemptOfAJobIsStarted();
		assertAllReservationsCanBeReclaimedTogether();
	}

	void assertEveryGuaranteeIsPlaced() {
		for (Customer customer : this.fleet.configuration.customers().values()) {
			for (GuaranteedShape guarantee : customer.guarantees()) {
				long placed = this.fleet.scheduler.guaranteeAllocator()
					.reservations(customer.id())
					.stream()
					.filter((reservation) -> reservation.shape.equals(guarantee.shape()) && reservation.isPlaced())
					.count();
				assertThat(placed).as("placed reservations of %s at %s", customer.id(), this.fleet.now)
					.isEqualTo(guarantee.gangs());
			}
		}
	}

	private void assertNoWorkerExceedsItsCapacity() {
		Map<WorkerId, Resources> held = new HashMap<>();
		this.fleet.tasks
			.forEach((task, running) -> held.merge(running.worker, running.spec.shape().perMember(), Resources::plus));
		held.forEach((worker,
				sum) -> assertThat(sum.fitsIn(VirtualFleet.WORKER_CAPACITY)).as("%s holds %s", worker, sum).isTrue());
	}

	private void assertAtMostOneAttemptOfAJobIsStarted() {
		Map<JobId, Integer> startedAttempt = new HashMap<>();
		this.fleet.tasks.forEach((task, running) -> {
			if (running.started) {
				startedAttempt.merge(task.attempt().job(), task.attempt().number(), Math::max);
			}
		});
		this.fleet.tasks.forEach((task, running) -> {
			int latest = startedAttempt.getOrDefault(task.attempt().job(), 0);
			assertThat(!running.started || task.attempt().number() == latest)
				.as("two attempts of %s run at once", task.attempt().job())
				.isTrue();
		});
	}

	private void assertAllReservationsCanBeReclaimedTogether() {
		Map<WorkerId, Resources> claimed = new HashMap<>();
		Set<JobId> jobsInReservations = new HashSet<>();
		for (GuaranteeReservation reservation : this.fleet.scheduler.guaranteeAllocator().allReservations()) {
			if (reservation.isPlaced()) {
				addReservation(reservation, claimed, jobsInReservations);
			}
		}
		for (JobView view : this.fleet.scheduler.jobs()) {
			boolean stays = !view.spec().repeatable() && !jobsInReservations.contains(view.job());
			for (Assignment assignment : view.placement()) {
				if (stays && this.fleet.holdsMember(view, assignment)) {
					claimed.merge(assignment.worker(), view.spec().shape().perMember(), Resources::plus);
				}
			}
		}
		claimed.forEach((worker, sum) -> assertThat(sum.fitsIn(VirtualFleet.WORKER_CAPACITY))
			.as("%s: reservations and non-repeatable work need %s at %s", worker, sum, this.fleet.now)
			.isTrue());
	}

	private void addReservation(GuaranteeReservation reservation, Map<WorkerId, Resources> claimed,
			Set<JobId> jobsInReservations) {
		assertThat(reservation.memberWorkers()).hasSize(reservation.shape.members());
		WorkerInfo first = reservation.memberWorkers().get(0).info;
		for (WorkerNode worker : reservation.memberWorkers()) {
			assertThat(reservation.shape.adjacency().isSatisfiedBy(first, worker.info)).isTrue();
			assertThat(this.fleet.configuration.zone(worker.info.zone()).acceptsWork()).isTrue();
			assertThat(this.fleet.lostWorkers).doesNotContain(worker.info.id());
			claimed.merge(worker.info.id(), reservation.shape.perMember(), Resources::plus);
		}
		Map<WorkerId, Resources> used = new HashMap<>();
		for (Gang gang : reservation.ownerGangs) {
			jobsInReservations.add(gang.job.id);
			for (Member member : gang.members) {
				if (member.allocated) {
					used.merge(member.workerId, gang.job.spec.shape().perMember(), Resources::plus);
				}
			}
		}
		used.forEach((worker, sum) -> {
			long members = reservation.memberWorkers()
				.stream()
				.filter((place) -> place.info.id().equals(worker))
				.count();
			assertThat(sum.fitsIn(reservation.shape.perMember().times((int) members)))
				.as("usage of a reservation on %s", worker)
				.isTrue();
		});
	}

}
