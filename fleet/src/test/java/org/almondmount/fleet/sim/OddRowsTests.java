package org.almondmount.fleet.sim;

import java.util.List;

import org.almondmount.fleet.Tables;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.workflow.JobPhase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Another writer left rows that can't be read.
 */
class OddRowsTests {

	private static final String JOB = "00000000000000aa";

	private static final String UNREADABLE = Row.unreadable(Tables.TERM, 1).value().orElseThrow();

	private final FleetSimulation simulation = new FleetSimulation(5, 3, 5);

	// Guards against targets and entries that do not find each other any more because of
	// one odd row.
	@Test
	void processesThatRestartBesideOddEntriesFindTheHolder() {
		List<String> odd = List.of(UNREADABLE, "[".repeat(20_000), "127.0.0.1:99999", "127.0.0.1:-1",
				"entry.example:80", "", "{\"address\":1e999}");
		for (int i = 0; i < odd.size(); i++) {
			this.simulation.store().put(Tables.ENTRIES, "a" + i, odd.get(i));
		}
		this.simulation.runFor(3_000);
		this.simulation.targets().forEach(FleetSimulation.SimulatedProcess::kill);
		this.simulation.entries().forEach(FleetSimulation.SimulatedProcess::kill);
		this.simulation.runFor(5_000);
		this.simulation.submit(this.simulation.smallJob(JOB), 500, false);
		this.simulation.runFor(5_000);
		assertPhase(JobPhase.COMPLETED);
	}

	// Guards against an odd row that keeps a new holder from loading the other jobs.
	@ParameterizedTest
	@ValueSource(strings = { "intake", "progress" })
	void aHolderLoadsTheOtherRows(String table) {
		this.simulation.store().put(table, table.equals(Tables.INTAKE) ? "job/0" : "0", UNREADABLE);
		this.simulation.runFor(3_000);
		this.simulation.submit(this.simulation.smallJob(JOB), 500, false);
		this.simulation.runFor(5_000);
		assertPhase(JobPhase.COMPLETED);
	}

	// Guards against completed tasks that run again because the progress of their job is
	// taken for absent.
	@Test
	void aJobWhoseProgressCannotBeReadIsNotStartedAgain() {
		this.simulation.runFor(3_000);
		this.simulation.submit(this.simulation.smallJob(JOB), 500, false);
		this.simulation.runFor(5_000);
		assertPhase(JobPhase.COMPLETED);
		long starts = this.simulation.checker().startCount();
		this.simulation.store().put(Tables.PROGRESS, JOB, UNREADABLE);
		this.simulation.entries().forEach(FleetSimulation.SimulatedProcess::kill);
		this.simulation.runFor(10_000);
		assertThat(this.simulation.checker().startCount()).isEqualTo(starts);
	}

	// Guards against a term with an epoch below that of an earlier one, whose commands
	// the workers would refuse.
	@Test
	void noTermBeginsWhileTheTermCannotBeRead() {
		this.simulation.store().put(Tables.TERM.table(), Tables.TERM.key(), UNREADABLE);
		this.simulation.runFor(5_000);
		assertThat(this.simulation.store().value(Tables.TERM)).contains(UNREADABLE);
	}

	private void assertPhase(JobPhase phase) {
		this.simulation.observedPhases().clear();
		this.simulation.queryPhase(JOB);
		this.simulation.runFor(1_000);
		assertThat(this.simulation.observedPhases()).containsEntry(JOB, phase);
		assertThat(this.simulation.checker().violations()).isEmpty();
	}

}
