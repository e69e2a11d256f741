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

	private final FleetSimulation simulation = new FleetSimulation(7, 3, 5);

	@Test
	void anEndedJobIsKnownDuringItsRetentionTime() {
		runJob();
		this.simulation.runFor(FleetSimulation.ENDED_JOB_RETENTION.toMillis());
		this.simulation.observedPhases().clear();
		this.simulation.queryPhase(JOB);
		this.simulation.runFor(1_000);
		assertThat(this.simulation.observedPhases()).containsEntry(JOB, JobPhase.COMPLETED);
		assertThat(this.simulation.checker().violations()).isEmpty();
	}

	// Rows of ended jobs that stay are read by each new holder, which takes longer from
	// day to day until the term runs out before it is done.
	@Test
	void anEndedJobIsDeletedAfterItsRetentionTime() {
		runJob();
		this.simulation.runFor(2 * FleetSimulation.ENDED_JOB_RETENTION.toMillis());
		assertThat(this.simulation.store().rowCount(Tables.INTAKE)).isZero();
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isZero();
	}

	// The holder was lost after it had removed the job and before its progress.
	@Test
	void progressWithoutAJobIsDeletedByTheNextHolder() {
		this.simulation.store().put(Tables.PROGRESS, JOB, "{\"job\":\"" + JOB + "\",\"phase\":\"COMPLETED\"}");
		this.simulation.runFor(5_000);
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isZero();
	}

	// Another version wrote the job in a way that this one can't read. Were its progress
	// removed, that version would begin anew what is done.
	@Test
	void progressOfAnUnreadableJobIsRetained() {
		this.simulation.store().put(Tables.INTAKE, "job/" + JOB, "{\"steps\":[]}");
		this.simulation.store().put(Tables.PROGRESS, JOB, "{\"job\":\"" + JOB + "\",\"phase\":\"RUNNING\"}");
		this.simulation.runFor(5_000);
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isOne();
	}

	// Guards against a holder that was paused between its two reads and takes the
	// progress of jobs that were accepted meanwhile for that of forgotten ones.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aHolderPausedDuringItsReadsDeletesNothingThatItsSuccessorStored(long millisAfterTermBegan) {
		while (this.simulation.epoch() == 0) {
			this.simulation.runFor(1);
		}
		this.simulation.runFor(millisAfterTermBegan);
		this.simulation.holder().pause(12_000);
		this.simulation.runFor(4_000);
		Workflow job = this.simulation.smallJob(JOB);
		this.simulation.checker().registerJob(job, 500, false);
		this.simulation.holder().submit(job);
		this.simulation.runFor(12_000);
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isOne();
		assertThat(this.simulation.checker().violations()).isEmpty();
	}

	private void runJob() {
		this.simulation.runFor(3_000);
		this.simulation.submit(this.simulation.smallJob(JOB), 500, false);
		this.simulation.runFor(5_000);
	}

}
