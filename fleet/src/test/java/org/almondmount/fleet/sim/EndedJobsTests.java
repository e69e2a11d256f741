package org.almondmount.fleet.sim;

import org.almondmount.fleet.Tables;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EndedJobsTests {

	private static final String JOB = "00000000000000aa";

	private final FleetWorld world = new FleetWorld(7, 3, 5);

	@Test
	void anEndedJobIsKnownAsLongAsCallersMayAskForIt() {
		runAJob();
		this.world.runFor(FleetWorld.STATUS.toMillis());
		this.world.seen().clear();
		this.world.ask(JOB);
		this.world.runFor(1_000);
		assertThat(this.world.seen()).containsEntry(JOB, JobPhase.COMPLETED);
		assertThat(this.world.checker().broken()).isEmpty();
	}

	// Rows of ended jobs that stay are read by each new holder, which takes longer from
	// day to day until the term runs out before it is done.
	@Test
	void afterThatNothingIsLeftOfIt() {
		runAJob();
		this.world.runFor(2 * FleetWorld.STATUS.toMillis());
		assertThat(this.world.store().rowsOf(Tables.INTAKE)).isZero();
		assertThat(this.world.store().rowsOf(Tables.PROGRESS)).isZero();
	}

	// The holder was lost after it had removed the job and before its progress.
	@Test
	void progressWithoutAJobIsRemovedByTheNextHolder() {
		this.world.store().put(Tables.PROGRESS, JOB, "{\"job\":\"" + JOB + "\",\"phase\":\"COMPLETED\"}");
		this.world.runFor(5_000);
		assertThat(this.world.store().rowsOf(Tables.PROGRESS)).isZero();
	}

	// Another version wrote the job in a way that this one can't read. Were its progress
	// removed, that version would begin anew what is done.
	@Test
	void progressOfAJobThatCannotBeReadStays() {
		this.world.store().put(Tables.INTAKE, "job/" + JOB, "{\"steps\":[]}");
		this.world.store().put(Tables.PROGRESS, JOB, "{\"job\":\"" + JOB + "\",\"phase\":\"RUNNING\"}");
		this.world.runFor(5_000);
		assertThat(this.world.store().rowsOf(Tables.PROGRESS)).isOne();
	}

	// Guards against a holder that was paused between its two reads and takes the
	// progress of jobs that were accepted meanwhile for that of forgotten ones.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aHolderThatWakesWhileItReadsRemovesNothingThatTheNextOneKept(long afterTermBegan) {
		while (this.world.epoch() == 0) {
			this.world.runFor(1);
		}
		this.world.runFor(afterTermBegan);
		this.world.theHolder().pause(12_000);
		this.world.runFor(4_000);
		Workflow job = this.world.smallJob(JOB);
		this.world.checker().submit(job, 500, false);
		this.world.theHolder().submit(job);
		this.world.runFor(12_000);
		assertThat(this.world.store().rowsOf(Tables.PROGRESS)).isOne();
		assertThat(this.world.checker().broken()).isEmpty();
	}

	private void runAJob() {
		this.world.runFor(3_000);
		this.world.submit(this.world.smallJob(JOB), 500, false);
		this.world.runFor(5_000);
	}

}
