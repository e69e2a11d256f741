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

	// Guards against rows of ended jobs that accumulate. Each new holder reads them,
	// which takes longer every day until its term expires before it has read them all.
	@Test
	void anEndedJobIsDeletedAfterItsRetentionTime() {
		runJob();
		this.simulation.runFor(2 * FleetSimulation.ENDED_JOB_RETENTION.toMillis());
		assertThat(this.simulation.store().rowCount(Tables.INTAKE)).isZero();
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isZero();
	}

	// The holder was lost after it had deleted the job and before it deleted its
	// progress.
	@Test
	void progressWithoutAJobIsDeletedByTheNextHolder() {
		this.simulation.store().put(Tables.PROGRESS, JOB, "{\"job\":\"" + JOB + "\",\"phase\":\"COMPLETED\"}");
		this.simulation.runFor(5_000);
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isZero();
	}

	// Another version wrote the job in a format that this version cannot read. Without
	// the progress row, that version would run completed work again.
	@Test
	void progressOfAnUnreadableJobIsRetained() {
		this.simulation.store().put(Tables.INTAKE, "job/" + JOB, "{\"steps\":[]}");
		this.simulation.store().put(Tables.PROGRESS, JOB, "{\"job\":\"" + JOB + "\",\"phase\":\"RUNNING\"}");
		this.simulation.runFor(5_000);
		assertThat(this.simulation.store().rowCount(Tables.PROGRESS)).isOne();
	}

	// Guards against a holder that is paused between its two reads and mistakes the
	// progress of jobs that were accepted in the meantime for that of deleted jobs.
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
