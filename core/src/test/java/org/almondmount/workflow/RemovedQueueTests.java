package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.WorkflowCommand.LogDecision;
import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.almondmount.workflow.WorkflowEvent.StoredJob;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RemovedQueueTests extends SchedulerFixture {

	private static final String OTHER_POOL = "other-pool";

	// Guards against a job that stands still because its queue has another name by now.
	@Test
	void theNextStepOfAJobStartsAfterItsQueueWasRenamed() {
		beginTerm(1);
		StartRun first = startsAfterAccepting(twoSteps("a", queue("q2", 2))).get(0);
		declare(2, queue("renamed", 2));
		assertThat(startsAfterPersisting(reportEnd(first, RunOutcome.DONE))).extracting(StartRun::task)
			.containsExactly(new TaskId("a", 0, 1, 0));
	}

	// Guards against jobs that nobody can place after all processes were replaced.
	@Test
	void aHolderThatNeverReadTheQueuePlacesItsJobs() {
		declare(2, queue("other", 1));
		Workflow job = accepted("a", queue("q2", 2), step(1, 1));
		beginTermWith(new StoredJob(job, Optional.empty(), false));
		assertThat(starts(this.commands)).hasSize(1);
	}

	// Guards against tasks that are retried for ever because no queue limits them.
	@Test
	void attemptsStayLimitedAfterTheQueueWasRemoved() {
		beginTerm(1);
		StartRun run = startsAfterAccepting(accepted("a", queue("q2", 2), step(1, 1))).get(0);
		declare(2);
		for (int attempt = 1; attempt < queue("q2", 2).maxAttempts(); attempt++) {
			startsAfterPersisting(reportEnd(run, RunOutcome.FAILED));
			this.now += 200;
			run = startsAfterPersisting(feed(new WorkflowEvent.Tick())).get(0);
		}
		startsAfterPersisting(reportEnd(run, RunOutcome.FAILED));
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against the loss of a guarantee with the name of a queue.
	@Test
	void aGuaranteeIsReclaimedForAJobWhoseQueueWasRemoved() {
		beginTerm(1);
		startsAfterAccepting(accepted("borrower", queue("q2", 2), step(1, 8)));
		declare(2, queue("q2", 2));
		feed(new WorkflowEvent.JobAccepted(accepted("owner", queue("q0", 0), step(1, 8))));
		assertThat(stops(this.commands)).extracting(WorkflowCommand.StopRun::task)
			.containsExactly(new TaskId("borrower", 0, 0, 0));
	}

	// Guards against urgent work that is stopped as if it were not urgent.
	@Test
	void anUrgentJobIsNotPreemptedBecauseItsQueueWasRemoved() {
		beginTerm(1);
		startsAfterAccepting(accepted("first", queue("q0", 0), step(1, 8)));
		declare(2, queue("renamed", 0));
		startsAfterAccepting(accepted("second", queue("renamed", 0), step(1, 8)));
		this.commands.clear();
		this.now += 1_000;
		feed(new WorkflowEvent.Tick());
		assertThat(stops(this.commands)).isEmpty();
	}

	// Guards against work that is left with a pool which its queue had left before it was
	// removed.
	@Test
	void aLaterDeclarationIsStoredAndKnownToTheNextHolder() {
		Workflow job = accepted("a", inPool(OTHER_POOL, queue("q2", 2)), step(1, 1));
		declare(2, inPool(OTHER_POOL, queue("q2", 2)));
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(job));
		JobRecord stored = requirePersist(declare(3, queue("q2", 2))).records().get(0);
		assertThat(stored.declaration()).contains(new QueueDeclaration(3, queue("q2", 2)));
		declare(4);
		beginTermWith(new StoredJob(job, Optional.of(stored), false));
		assertThat(starts(this.commands)).hasSize(1);
	}

	// Guards against jobs of earlier versions, whose rows hold no declaration.
	@Test
	void theDeclarationOfAJobThatWasStoredWithoutOneIsStoredOnceItsQueueIsRemoved() {
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(job("a", 2, step(1, 1))));
		JobRecord stored = requirePersist(declare(2)).records().get(0);
		assertThat(stored.declaration()).contains(new QueueDeclaration(1, queue("q2", 2)));
	}

	@Test
	void aQueueThatIsDeclaredAgainIsInForceAsDeclared() {
		JobQueue elsewhere = inPool(OTHER_POOL, queue("q2", 2));
		beginTerm(1);
		declare(2, elsewhere);
		feed(new WorkflowEvent.JobAccepted(withDeclaration("a", new QueueDeclaration(2, elsewhere), step(1, 1))));
		declare(3);
		assertThat(starts(this.commands)).isEmpty();
		assertThat(startsAfterPersisting(declare(4, queue("q2", 2)))).hasSize(1);
	}

	// Guards against a holder that is behind the entry which accepted the job.
	@Test
	void anOlderConfigurationDoesNotReplaceTheDeclarationOfAJob() {
		beginTerm(1);
		Workflow job = withDeclaration("a", new QueueDeclaration(5, inPool(OTHER_POOL, queue("q2", 2))), step(1, 1));
		assertThat(startsAfterAccepting(job)).isEmpty();
	}

	@Test
	void waitingJobsOfARemovedQueueCountToTheQueueAtItsPath() {
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(accepted("a", queue("q2", 2), step(1, 1))));
		declare(2, queue("renamed", 2), queue("other", 1));
		assertThat(queuedJobCount("renamed")).isOne();
		assertThat(queuedJobCount("other")).isZero();
		declare(3, queue("q2", 1), queue("renamed", 2));
		assertThat(queuedJobCount("q2")).isOne();
		assertThat(queuedJobCount("renamed")).isZero();
	}

	@Test
	void theLogTellsWhenJobsOutliveTheirQueueAndWhenItIsDeclaredAgain() {
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(accepted("a", queue("q2", 2), step(1, 1))));
		declare(2, queue("renamed", 2));
		declare(3, queue("renamed", 2), queue("other", 1));
		declare(4, queue("q2", 2));
		assertThat(loggedEvents()).containsSubsequence("jobs-outlive-queues", "queues-declared-again")
			.containsOnlyOnce("jobs-outlive-queues", "queues-declared-again");
	}

	private List<WorkflowCommand> declare(long revision, JobQueue... queues) {
		return feed(new WorkflowEvent.ConfigurationChanged(new FleetConfiguration(revision, List.of(queues),
				List.of("pool", OTHER_POOL), List.of(new FleetCustomer("c", Set.of("k"), 8)))));
	}

	private void beginTermWith(StoredJob job) {
		feed(new WorkflowEvent.TermEnded());
		feed(new WorkflowEvent.TermBegan(2, List.of(job)));
		startsAfterPersisting(feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 1, false), 2, List.of(), List.of()))));
	}

	private List<String> loggedEvents() {
		List<String> events = new ArrayList<>();
		for (WorkflowCommand command : this.commands) {
			if (command instanceof LogDecision decision) {
				events.add(decision.event());
			}
		}
		return events;
	}

	private static JobQueue queue(String name, int priority) {
		return new JobQueue(name, "h", "/" + priority, "pool", priority, 2, 3, 1_000, false, false);
	}

	private static JobQueue inPool(String pool, JobQueue queue) {
		return new JobQueue(queue.name(), queue.host(), queue.pathPrefix(), pool, queue.priority(), queue.maxAttempts(),
				queue.criticalPathFactor(), queue.latencyAllowanceMillis(), false, false);
	}

	private Workflow twoSteps(String id, JobQueue queue) {
		Step second = new Step(1, amount(1), 10_000, List.of(0), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
		return accepted(id, queue, step(1, 1), second);
	}

	private Workflow accepted(String id, JobQueue queue, Step... steps) {
		return withDeclaration(id, new QueueDeclaration(1, queue), steps);
	}

	private Workflow withDeclaration(String id, QueueDeclaration declaration, Step... steps) {
		return new Workflow(id, declaration.queue().name(), "c", "p", List.of(steps), Workflow.Schedule.ONCE, this.now,
				Optional.of(declaration));
	}

}
