package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Who goes first when two customers of uneven guarantees wait. The customer "c" holds a
 * whole worker and handed in its next job first.
 */
class SharingRulesTests extends SchedulerFixture {

	@Override
	SchedulerPolicy policy() {
		return SchedulerPolicy.DEFAULT.withFeatures(SchedulerFeature.ALL);
	}

	@BeforeEach
	void configureUnevenGuarantees() {
		configure(2, new FleetCustomer("c", Set.of("k"), 8), new FleetCustomer("other", Set.of("o"), 32));
	}

	@Test
	void customerWithTheLeastUseOfItsEntitlementGoesFirst() {
		beginTerm(1);
		startsAfterAccepting(job("held", 1, step(1, 8)));
		acceptNextJobs();
		assertThat(jobsStartedOnASecondWorker()).containsExactly("hers");
	}

	@Test
	void shareIsCountedFromInheritedRunsBeforeTheirWorkerReports() {
		beginTerm(1);
		Workflow held = job("held", 1, step(1, 8));
		WorkflowCommand.StartRun start = startsAfterAccepting(held).get(0);
		JobRecord.TaskRecord task = new JobRecord.TaskRecord(new JobRecord.StepKey(0, 0), 0, start.run(), 0, false, "",
				List.of(new JobRecord.OpenRun(start.run(), start.target(), start.incarnation(), 1)));
		JobRecord progress = new JobRecord("held", JobPhase.RUNNING, List.of(), List.of(task));
		feed(new WorkflowEvent.TermBegan(2, List.of(new WorkflowEvent.StoredJob(held, Optional.of(progress), false))));
		acceptNextJobs();
		assertThat(jobsStartedOnASecondWorker()).containsExactly("hers");
	}

	@Test
	void runsOfASilentWorkerCount() {
		beginTerm(1);
		startsAfterAccepting(job("held", 1, step(1, 8))).forEach(this::reportRunning);
		acceptNextJobs();
		this.now += SchedulerPolicy.DEFAULT.maxSilenceMillis() + 100;
		assertThat(jobsStartedOnASecondWorker()).containsExactly("hers");
	}

	@Test
	void jobsOfARemovedCustomerGoBehindThoseOfItsPriority() {
		beginTerm(0);
		configure(3, new FleetCustomer("small", Set.of("s"), 8), new FleetCustomer("other", Set.of("o"), 32));
		acceptNextJobs();
		assertThat(jobsStartedOnASecondWorker()).containsExactly("hers");
	}

	@Test
	void priorityGoesBeforeShares() {
		beginTerm(1);
		startsAfterAccepting(job("held", 1, step(1, 8)));
		feedWithoutPlacement(new WorkflowEvent.JobAccepted(job("next", 1, step(1, 8))));
		feedWithoutPlacement(new WorkflowEvent.JobAccepted(jobOf("other", "hers", 2, step(1, 8))));
		assertThat(jobsStartedOnASecondWorker()).containsExactly("next");
	}

	@Test
	void waitForAShareIsLoggedAndCountedOnceASecond() {
		customerWithTheLeastUseOfItsEntitlementGoesFirst();
		for (int round = 0; round < 9; round++) {
			this.now += 100;
			feed(new WorkflowEvent.Tick());
		}
		assertThat(this.commands).filteredOn(WorkflowCommand.CountDecision.class::isInstance)
			.containsExactly(new WorkflowCommand.CountDecision(LoadDecision.CUSTOMER_OVER_SHARE));
		assertThat(this.commands).contains(WorkflowCommand.LogDecision.of("customer-over-share", "customer", "c", "job",
				"next", "usePercent", 50L, "entitlementPercent", 20L, "waitingCustomer", "other"));
	}

	private void configure(long revision, FleetCustomer... customers) {
		List<JobQueue> queues = List.of(new JobQueue("q1", "h", "/1", "pool", 1, 2, 3, 1_000, false, false),
				new JobQueue("q2", "h", "/2", "pool", 2, 2, 3, 1_000, false, false));
		feed(new WorkflowEvent.ConfigurationChanged(
				new FleetConfiguration(revision, queues, List.of("pool"), List.of(customers))));
	}

	private void acceptNextJobs() {
		feedWithoutPlacement(new WorkflowEvent.JobAccepted(job("next", 1, step(1, 8))));
		this.now += 100;
		feedWithoutPlacement(new WorkflowEvent.JobAccepted(jobOf("other", "hers", 1, step(1, 8))));
	}

	private List<String> jobsStartedOnASecondWorker() {
		this.commands.clear();
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t1", description(1, 1, false), 2, List.of(), List.of())));
		return startsAfterPersisting(this.commands).stream().map((start) -> start.task().job()).toList();
	}

}
