package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobLimits;
import org.almondmount.jobs.JobPolicy;
import org.almondmount.jobs.JobView;
import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.WorkerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OrderTests {

	private static final GangShape ONE = VirtualFleet.gang(1, 1, Adjacency.ANY);

	private static final GangShape RACK_OF_24 = VirtualFleet.gang(3, 8, Adjacency.RACK);

	private final VirtualFleet fleet = VirtualFleet.of(2, 2, 3);

	@Test
	void customersShareCapacityByWeight() {
		this.fleet.putCustomer("heavy", 3);
		this.fleet.putCustomer("light", 1);
		for (int i = 0; i < 200; i++) {
			this.fleet.submit("l" + i, VirtualFleet.spec("light", ONE), 20_000 + 100 * i);
			this.fleet.submit("h" + i, VirtualFleet.spec("heavy", ONE), 20_000 + 100 * i);
		}
		this.fleet.runFor(60_000);
		assertThat(countTasksOf("heavy")).isBetween(68L, 76L);
		assertThat(countTasksOf("light")).isBetween(20L, 28L);
	}

	@Test
	void gangIsNotStarvedByAContinuousStreamOfSmallJobs() {
		// A continuous stream of small jobs of another customer keeps every worker busy,
		// so no rack ever becomes free by itself. The gang must still start within the
		// bound, on capacity cleared for its reservation or its fair share.
		for (int i = 0; i < 400; i++) {
			this.fleet.submit("s" + i, VirtualFleet.spec("small", ONE), 60_000 + 977 * (i % 60));
		}
		this.fleet.runFor(1_000);
		JobId gang = this.fleet.submit("g", VirtualFleet.spec("large", RACK_OF_24), 30_000);
		for (int i = 400; i < 1_000 && this.fleet.countStartedTasks(gang) == 0; i++) {
			this.fleet.submit("s" + i, VirtualFleet.spec("small", ONE), 60_000 + 977 * (i % 60));
			this.fleet.runFor(500);
		}
		assertThat(this.fleet.firstStartMillis).containsKey(gang);
		assertThat(this.fleet.firstStartMillis.get(gang)).isLessThan(120_000);
	}

	@Test
	void burstOfSubmissionsAndCancellationsDoesNotDelayAnUrgentStart() {
		// 10,000 small jobs and 50 gangs are submitted together and most are cancelled at
		// once. An urgent job within its owner's guarantee must still start within 5.5 s,
		// because borrowers are evicted and a cancellation costs no more than its own
		// job.
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(1, RACK_OF_24));
		List<JobId> burst = new ArrayList<>();
		for (int i = 0; i < 10_000; i++) {
			burst.add(this.fleet.submit("s" + i, VirtualFleet.spec("c" + i % 5, ONE), 600_000));
		}
		for (int i = 0; i < 50; i++) {
			burst.add(this.fleet.submit("g" + i, VirtualFleet.spec("c" + i % 5, RACK_OF_24), 600_000));
		}
		this.fleet.runFor(100);
		JobId urgent = this.fleet.submit("u", VirtualFleet.urgent(VirtualFleet.spec("owner", RACK_OF_24)), 60_000);
		burst.subList(1_000, burst.size()).forEach((job) -> this.fleet.feed(new JobEvent.JobCancelled(job)));
		this.fleet.runFor(5_500);
		assertThat(this.fleet.countStartedTasks(urgent)).isEqualTo(3);
	}

	@Test
	void customerWithAFullQueueIsRefusedAndOthersAreNot() {
		VirtualFleet small = new VirtualFleet(
				JobPolicy.DEFAULT.withLimits(JobLimits.DEFAULT.withWaitingPerCustomer(5)));
		small.addWorkers(1, 1, 1);
		for (int i = 0; i < 20; i++) {
			small.submit("f" + i, VirtualFleet.spec("flood", ONE), 600_000);
		}
		JobId other = small.submit("o", VirtualFleet.spec("other", ONE), 1_000);
		assertThat(small.refusals).hasSize(7).doesNotContainKey(other);
		assertThat(small.refusals.values()).allMatch((refused) -> refused.reason().equals("customer-limit"));
	}

	@Test
	void workerThatFailsEveryTaskIsQuarantinedAndRecoversAfterProbation() {
		WorkerId faulty = new WorkerId("w0-0-0");
		this.fleet.failingWorkers.add(faulty);
		for (int i = 0; i < 300; i++) {
			this.fleet.submit("j" + i, VirtualFleet.spec("one", ONE), 5_000);
		}
		this.fleet.runFor(10_000);
		assertThat(stateOf(faulty)).isEqualTo("quarantined");
		this.fleet.failingWorkers.clear();
		this.fleet.runFor(600_000);
		assertThat(stateOf(faulty)).isEqualTo("up");
		assertThat(this.fleet.endings).hasSize(300);
	}

	@Test
	void waitingJobExplainsWhyItWaits() {
		this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(12, 8, Adjacency.ANY)), 600_000);
		this.fleet.runFor(500);
		JobId waiting = this.fleet.submit("b", VirtualFleet.spec("two", RACK_OF_24), 600_000);
		this.fleet.runFor(500);
		assertThat(this.fleet.phase(waiting)).isEqualTo(JobView.Phase.WAITING);
		assertThat(this.fleet.scheduler.explain(waiting)).anyMatch((line) -> line.contains("in one rack"))
			.anyMatch((line) -> line.contains("were submitted before it"));
	}

	private long countTasksOf(String customer) {
		return this.fleet.tasks.values()
			.stream()
			.map((running) -> running.spec)
			.map(JobSpec::customer)
			.filter((owner) -> owner.value().equals(customer))
			.count();
	}

	private String stateOf(WorkerId id) {
		return this.fleet.scheduler.workers()
			.stream()
			.filter((view) -> view.worker().id().equals(id))
			.findFirst()
			.orElseThrow()
			.state();
	}

}
