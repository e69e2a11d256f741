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
 * Checks a scheduler from outside, slowly: it works everything out anew from what the
 * workers hold and from where the scheduler says that its spots lie, and trusts none of
 * the scheduler's sums.
 */
final class ReclaimChecker {

	private final VirtualFleet fleet;

	ReclaimChecker(VirtualFleet fleet) {
		this.fleet = fleet;
	}

	void check() {
		noWorkerIsOverCapacity();
		everyTaskBelongsToItsJobsPlacement();
		spotsCanAllBeReclaimedAtOnce();
	}

	void everyGuaranteeHasASpot() {
		for (Customer customer : this.fleet.configuration.customers().values()) {
			for (GuaranteedShape guarantee : customer.guarantees()) {
				long placed = this.fleet.scheduler.guaranteeAllocator()
					.spots(customer.id())
					.stream()
					.filter((spot) -> spot.shape.equals(guarantee.shape()) && spot.isPlaced())
					.count();
				assertThat(placed).as("spots of %s at %s", customer.id(), this.fleet.now).isEqualTo(guarantee.gangs());
			}
		}
	}

	private void noWorkerIsOverCapacity() {
		Map<WorkerId, Resources> held = new HashMap<>();
		this.fleet.tasks
			.forEach((task, running) -> held.merge(running.worker, running.spec.shape().perMember(), Resources::plus));
		held.forEach(
				(worker, sum) -> assertThat(sum.fitsIn(VirtualFleet.WORKER)).as("%s holds %s", worker, sum).isTrue());
	}

	private void everyTaskBelongsToItsJobsPlacement() {
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

	private void spotsCanAllBeReclaimedAtOnce() {
		Map<WorkerId, Resources> claimed = new HashMap<>();
		Set<JobId> inside = new HashSet<>();
		for (Spot spot : this.fleet.scheduler.guaranteeAllocator().all()) {
			if (spot.isPlaced()) {
				addSpot(spot, claimed, inside);
			}
		}
		for (JobView view : this.fleet.scheduler.jobs()) {
			boolean stays = !view.spec().repeatable() && !inside.contains(view.job());
			for (Assignment assignment : view.placement()) {
				if (stays && this.fleet.holds(view, assignment)) {
					claimed.merge(assignment.worker(), view.spec().shape().perMember(), Resources::plus);
				}
			}
		}
		claimed.forEach((worker, sum) -> assertThat(sum.fitsIn(VirtualFleet.WORKER))
			.as("%s: spots and work that stays need %s at %s", worker, sum, this.fleet.now)
			.isTrue());
	}

	private void addSpot(Spot spot, Map<WorkerId, Resources> claimed, Set<JobId> inside) {
		assertThat(spot.places()).hasSize(spot.shape.members());
		WorkerInfo first = spot.places().get(0).info;
		for (WorkerNode worker : spot.places()) {
			assertThat(spot.shape.adjacency().joins(first, worker.info)).isTrue();
			assertThat(this.fleet.configuration.zone(worker.info.zone()).acceptsWork()).isTrue();
			assertThat(this.fleet.gone).doesNotContain(worker.info.id());
			claimed.merge(worker.info.id(), spot.shape.perMember(), Resources::plus);
		}
		Map<WorkerId, Resources> used = new HashMap<>();
		for (Gang gang : spot.users) {
			inside.add(gang.job.id);
			for (Member member : gang.members) {
				if (member.allocated) {
					used.merge(member.workerId, gang.job.spec.shape().perMember(), Resources::plus);
				}
			}
		}
		used.forEach((worker, sum) -> {
			long members = spot.places().stream().filter((place) -> place.info.id().equals(worker)).count();
			assertThat(sum.fitsIn(spot.shape.perMember().times((int) members))).as("use of a spot on %s", worker)
				.isTrue();
		});
	}

}
