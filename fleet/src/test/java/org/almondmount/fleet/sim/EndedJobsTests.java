package org.almondmount.fleet.sim;

import java.util.List;

import org.almondmount.fleet.Tables;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

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

	private void runAJob() {
		this.world.runFor(3_000);
		Step step = new Step(1, new ResourceAmount(1_000, 1_000, 1), 1_000, List.of(), false, false,
				Step.Placement.ANYWHERE, false, Step.ServiceTerms.NONE);
		this.world.submit(
				new Workflow(JOB, "q1", "one", "p", List.of(step), Workflow.Schedule.ONCE, this.world.time().now()),
				500, false);
		this.world.runFor(5_000);
	}

}
