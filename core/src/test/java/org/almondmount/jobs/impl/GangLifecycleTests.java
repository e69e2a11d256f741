package org.almondmount.jobs.impl;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobView;
import org.almondmount.model.Adjacency;
import org.almondmount.model.JobId;
import org.almondmount.model.WorkerId;
import org.almondmount.model.ZoneState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GangLifecycleTests {

	private final VirtualFleet fleet = VirtualFleet.of(2, 2, 3);

	@Test
	void gangRunsOnAllMembersAndSucceeds() {
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(3, 8, Adjacency.RACK)), 1_000);
		this.fleet.runFor(200);
		assertThat(this.fleet.phase(job)).isEqualTo(JobView.Phase.RUNNING);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
		this.fleet.runFor(2_000);
		assertThat(this.fleet.endings).containsEntry(job, JobOutcome.SUCCEEDED);
	}

	@Test
	void gangThatFitsNoRackIsRefusedNamingTheDimension() {
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(4, 8, Adjacency.RACK)), 1_000);
		assertThat(this.fleet.refusals.get(job).reason()).isEqualTo("never-fits");
		assertThat(this.fleet.refusals.get(job).detail()).contains("members").contains("at most 3");
	}

	@Test
	void lostWorkerRequeuesTheWholeGangUnderANewAttempt() {
		// One of three workers is lost while the gang runs. A gang must never run with
		// only some of its members, so the two other members are stopped first, and
		// attempt 2 is then placed on healthy workers.
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(3, 8, Adjacency.RACK)), 5_000);
		this.fleet.runFor(200);
		this.fleet.loseWorker(this.fleet.scheduler.job(job).orElseThrow().placement().get(1).worker());
		this.fleet.runFor(500);
		assertThat(this.fleet.scheduler.job(job).orElseThrow().attempt()).isEqualTo(2);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
	}

	@Test
	void nonRepeatableJobIsNotRestartedWhenItsWorkerIsLost() {
		JobId job = this.fleet.submit("a",
				VirtualFleet.nonRepeatable(VirtualFleet.spec("one", VirtualFleet.gang(1, 1, Adjacency.ANY))), 5_000);
		this.fleet.runFor(200);
		this.fleet.loseWorker(this.fleet.scheduler.job(job).orElseThrow().placement().get(0).worker());
		this.fleet.runFor(10_000);
		assertThat(this.fleet.endings).containsEntry(job, JobOutcome.UNKNOWN);
		assertThat(this.fleet.scheduler.job(job).orElseThrow().attempt()).isEqualTo(1);
	}

	@Test
	void gangMovesAwayFromAZoneThatIsOut() {
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(3, 8, Adjacency.RACK)), 60_000);
		this.fleet.runFor(200);
		String zone = this.fleet.scheduler.job(job).orElseThrow().placement().get(0).worker().value().substring(1, 2);
		this.fleet.setZoneState("z" + zone, ZoneState.OUT);
		this.fleet.runFor(4_000);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
		for (Assignment assignment : this.fleet.scheduler.job(job).orElseThrow().placement()) {
			assertThat(assignment.worker().value()).doesNotStartWith("w" + zone);
		}
	}

	@Test
	void zoneThatReturnsWithinTheSettleTimeMovesNoWork() {
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(3, 8, Adjacency.RACK)), 60_000);
		this.fleet.runFor(200);
		for (int i = 0; i < 3; i++) {
			this.fleet.setZoneState("z0", ZoneState.OUT);
			this.fleet.setZoneState("z1", ZoneState.OUT);
			this.fleet.runFor(700);
			this.fleet.setZoneState("z0", ZoneState.IN);
			this.fleet.setZoneState("z1", ZoneState.IN);
			this.fleet.runFor(100);
		}
		this.fleet.runFor(40_000);
		assertThat(this.fleet.scheduler.job(job).orElseThrow().attempt()).isEqualTo(1);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
	}

	@Test
	void memberThatSucceedsWithoutAStartReportCountsAsStarted() {
		// The start report of one member is lost, its success report is not. The other
		// member runs past the start timeout; the job must succeed in its first attempt.
		JobId job = new JobId("a");
		this.fleet.workersRespond = false;
		this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(2, 1, Adjacency.ANY)), 60_000);
		this.fleet.runFor(50);
		Attempt attempt = new Attempt(job, 1);
		this.fleet.feed(new JobEvent.MemberPrepared(attempt, 0));
		this.fleet.feed(new JobEvent.MemberPrepared(attempt, 1));
		this.fleet.feed(new JobEvent.MemberStarted(attempt, 0));
		this.fleet.feed(new JobEvent.MemberEnded(attempt, 1, JobOutcome.SUCCEEDED));
		this.fleet.runFor(30_000);
		assertThat(this.fleet.phase(job)).isEqualTo(JobView.Phase.RUNNING);
		this.fleet.feed(new JobEvent.MemberEnded(attempt, 0, JobOutcome.SUCCEEDED));
		assertThat(this.fleet.endings).containsEntry(job, JobOutcome.SUCCEEDED);
	}

	@Test
	void jobWaitsUntilStartsAreAllowed() {
		this.fleet.feed(new JobEvent.StartsAllowed(false));
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(1, 1, Adjacency.ANY)), 60_000);
		this.fleet.runFor(5_000);
		assertThat(this.fleet.phase(job)).isEqualTo(JobView.Phase.WAITING);
		this.fleet.feed(new JobEvent.StartsAllowed(true));
		this.fleet.runFor(200);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(1);
	}

	@Test
	void attemptIsAbortedAndRequeuedWhenNoMemberIsPrepared() {
		this.fleet.workersRespond = false;
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(2, 1, Adjacency.ANY)), 60_000);
		this.fleet.runFor(3_100);
		assertThat(this.fleet.commands).filteredOn(JobCommand.Abort.class::isInstance).hasSize(2);
		assertThat(this.fleet.commands).filteredOn(JobCommand.Requeue.class::isInstance).hasSize(1);
		assertThat(this.fleet.phase(job)).isEqualTo(JobView.Phase.WAITING);
		this.fleet.workersRespond = true;
		this.fleet.runFor(10_000);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(2);
	}

	@Test
	void reportOfAnOldAttemptIsIgnored() {
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(1, 1, Adjacency.ANY)), 60_000);
		this.fleet.runFor(200);
		this.fleet.loseWorker(this.fleet.scheduler.job(job).orElseThrow().placement().get(0).worker());
		this.fleet.runFor(200);
		this.fleet.feed(new JobEvent.MemberEnded(new Attempt(job, 1), 0, JobOutcome.SUCCEEDED));
		assertThat(this.fleet.endings).doesNotContainKey(job);
		assertThat(this.fleet.phase(job)).isEqualTo(JobView.Phase.RUNNING);
	}

	@Test
	void jobThatFailsOnSeveralHealthyWorkersEndsAsFailed() {
		this.fleet.failingJobs.add(new JobId("a"));
		JobId job = this.fleet.submit("a", VirtualFleet.spec("one", VirtualFleet.gang(1, 1, Adjacency.ANY)), 60_000);
		this.fleet.runFor(60_000);
		assertThat(this.fleet.endings).containsEntry(job, JobOutcome.FAILED);
		assertThat(this.fleet.scheduler.job(job).orElseThrow().attempt()).isEqualTo(3);
	}

	@Test
	void recoveredJobKeepsItsAttemptOnAKnownWorkerAndIsRequeuedOtherwise() {
		GangRecovery.recover(this.fleet, "kept", new WorkerId("w0-0-0"));
		GangRecovery.recover(this.fleet, "lost", new WorkerId("w9-9-9"));
		this.fleet.runFor(9_000);
		assertThat(this.fleet.phase(new JobId("lost"))).isEqualTo(JobView.Phase.RUNNING);
		this.fleet.runFor(2_000);
		assertThat(this.fleet.scheduler.job(new JobId("lost")).orElseThrow().attempt()).isEqualTo(5);
		assertThat(this.fleet.scheduler.job(new JobId("kept")).orElseThrow().attempt()).isEqualTo(4);
	}

	/**
	 * Jobs that were running under the previous lease holder.
	 */
	private static final class GangRecovery {

		private GangRecovery() {
		}

		static void recover(VirtualFleet fleet, String job, WorkerId worker) {
			fleet.feed(new JobEvent.JobRecovered(new JobId(job),
					VirtualFleet.spec("one", VirtualFleet.gang(1, 1, Adjacency.ANY)), 4,
					java.util.List.of(new Assignment(0, worker)), true, false));
		}

	}

}
