package org.almondmount.bench.measure;

import java.util.Map;

import org.almondmount.bench.replay.AttemptRecord;
import org.almondmount.bench.replay.JobRecord;
import org.almondmount.bench.replay.ReplayRecord;
import org.almondmount.bench.workload.FleetChange;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.Urgency;
import org.almondmount.model.ZoneState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class MeasuresTests {

	private static final long MINUTE = 60_000;

	private static final double EXACT = 1e-9;

	private final Records records = new Records();

	@Test
	void completionIsComparedWithTheAreaWhenCapacityIsShort() {
		for (int i = 0; i < 4; i++) {
			JobRecord job = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 0, 1_000);
			Records.run(job, i * 1_000, Records.ONE);
		}

		// 16 accelerator-seconds on 8 accelerators take 2 s; one worker alone took 4 s
		assertThat(figure(4_000, Measure.COMPLETION)).isEqualTo(2.0, within(EXACT));
	}

	@Test
	void completionIsComparedWithTheLongestJobWhenCapacityIsPlenty() {
		JobRecord job = this.records.job(Records.ALPHA, Records.gang(1, 1, Adjacency.WORKER), 0, 1_000);
		Records.run(job, 500, Records.ONE);

		assertThat(figure(1_500, Measure.COMPLETION)).isEqualTo(1.5, within(EXACT));
	}

	@Test
	void areaLeavesOutWorkersWhileTheirZoneIsOut() {
		this.records.change(new FleetChange.ZoneSet(0, Records.ZONE_ONE, ZoneState.OUT));
		for (int i = 0; i < 2; i++) {
			JobRecord job = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 0, 1_000);
			Records.run(job, i * 1_000, Records.TWO);
		}

		assertThat(figure(2_000, Measure.COMPLETION)).isEqualTo(1.0, within(EXACT));
	}

	@Test
	void slowdownBoundsShortRunsFromBelow() {
		JobRecord brief = this.records.job(Records.ALPHA, Records.gang(1, 1, Adjacency.WORKER), 0, 1_000);
		Records.run(brief, 9_000, Records.ONE);
		JobRecord longer = this.records.job(Records.ALPHA, Records.gang(1, 1, Adjacency.WORKER), 0, 20_000);
		Records.run(longer, 40_000, Records.ONE);

		assertThat(figure(60_000, Measure.SLOWDOWN)).isEqualTo((1.0 + 3.0) / 2, within(EXACT));
	}

	@Test
	void freeAcceleratorsThatTheWaitingGangCannotUseAreFragmented() {
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 2, Adjacency.WORKER), 0, 1_000), 0, Records.ONE);
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 2, Adjacency.WORKER), 0, 1_000), 0, Records.TWO);
		JobRecord gang = this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 0, 1_000);
		Records.run(gang, 1_000, Records.ONE);

		// for 1 of 2 s, 4 of 8 accelerators are free in two halves
		assertThat(figure(2_000, Measure.FRAGMENTATION)).isEqualTo(25.0, within(EXACT));
		assertThat(figure(2_000, Measure.FRAGMENTATION_OF_FREE)).isEqualTo(100.0, within(EXACT));
	}

	@Test
	void freeAcceleratorsAreNotFragmentedWhenTooFewAreFree() {
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 3, Adjacency.WORKER), 0, 1_000), 0, Records.ONE);
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 3, Adjacency.WORKER), 0, 1_000), 0, Records.TWO);
		this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 0, 1_000);

		assertThat(figure(1_000, Measure.FRAGMENTATION)).isZero();
	}

	@Test
	void aGangThatNoEmptyFleetTakesMakesNoFragmentation() {
		this.records.job(Records.BETA, Records.gang(2, 4, Adjacency.WORKER), 0, 1_000);

		assertThat(figure(1_000, Measure.FRAGMENTATION)).isZero();
	}

	@Test
	void workOverAZoneChangeCountsOnlyWorkersInServiceAndTakesOffWhatWasLost() {
		this.records.change(new FleetChange.ZoneSet(1_000, Records.ZONE_ONE, ZoneState.OUT));
		this.records.change(new FleetChange.ZoneSet(2_000, Records.ZONE_ONE, ZoneState.IN));
		JobRecord moved = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 0, 10_000_000);
		AttemptRecord first = Records.attempt(moved, 0, 1_500, Records.ONE);
		first.lost(50);
		JobRecord stays = this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 0, 10_000_000);
		Records.attempt(stays, 0, 601_000, Records.TWO);

		// window 1 s to 602 s: allowed 4 for 1 s, then the demand of 8; done 4
		// throughout, less 4 for 50 ms
		double allowed = 4 * 1_000 + 8 * 600_000;
		double done = 4 * 600_000 - 4 * 50;
		assertThat(figure(602_000, Measure.ZONE_WORK)).isEqualTo(100 * done / allowed, within(EXACT));
	}

	@Test
	void lossesAreCountedInCheckpointIntervals() {
		JobRecord job = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 0, 900);
		Records.attempt(job, 0, 350, Records.ONE).lost(50);
		Records.run(job, 400, Records.ONE);
		job.end(1_300, JobOutcome.SUCCEEDED);

		assertThat(figure(1_300, Measure.LOST_INTERVALS)).isEqualTo(0.5, within(EXACT));
		assertThat(figure(1_300, Measure.LOST_SHARE)).isEqualTo(100.0 * 50 / 950, within(EXACT));
	}

	@Test
	void fairnessIsWhatTheWorstCustomerReceivedOverItsShare() {
		JobRecord greedy = this.records.job(Records.ALPHA, Records.gang(2, 3, Adjacency.ANY), 0, 10 * MINUTE);
		Records.run(greedy, 0, Records.ONE, Records.TWO);
		JobRecord modest = this.records.job(Records.BETA, Records.gang(1, 1, Adjacency.WORKER), 0, 10 * MINUTE);
		Records.run(modest, 0, Records.ONE);
		this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 0, MINUTE);

		// beta is owed half of 8 and has 1
		assertThat(figure(10 * MINUTE, Measure.FAIR_WORST)).isEqualTo(0.25, within(EXACT));
		assertThat(figure(10 * MINUTE, Measure.FAIR_OVERALL)).isEqualTo(0.25, within(EXACT));
	}

	@Test
	void aCustomerThatAsksForLessThanItsShareLeavesTheRestToOthers() {
		JobRecord large = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 0, 10 * MINUTE);
		Records.run(large, 0, Records.ONE);
		this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 0, 10 * MINUTE);
		JobRecord small = this.records.job(Records.BETA, Records.gang(1, 2, Adjacency.WORKER), 0, 10 * MINUTE);
		Records.run(small, 0, Records.TWO);

		// alpha is owed 6 and has 4; beta has no backlog
		assertThat(figure(10 * MINUTE, Measure.FAIR_WORST)).isEqualTo(4.0 / 6, within(EXACT));
	}

	@Test
	void aShareIsOwedOnlyWhileAWaitingJobFitsWhatTheCustomerIsShortOf() {
		JobRecord large = this.records.job(Records.ALPHA, Records.gang(2, 3, Adjacency.ANY), 0, 10 * MINUTE);
		Records.run(large, 0, Records.ONE, Records.TWO);
		Records.run(this.records.job(Records.BETA, Records.gang(1, 1, Adjacency.ANY), 0, 10 * MINUTE), 0, Records.ONE);
		this.records.job(Records.BETA, Records.gang(2, 2, Adjacency.ANY), 0, MINUTE);
		Records.run(this.records.job(Records.BETA, Records.gang(1, 1, Adjacency.ANY), 0, 5 * MINUTE), 5 * MINUTE,
				Records.TWO);

		// owed 4 while the small job waits for 5 minutes, then the 2 that it has;
		// received 1 and 2
		assertThat(figure(10 * MINUTE, Measure.FAIR_FITTING_WORST)).isEqualTo((1.0 + 2) / (4 + 2), within(EXACT));
	}

	@Test
	void anUrgentJobWaitsFromSubmissionToItsFirstStart() {
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 1, Adjacency.ANY), Urgency.URGENT, 100, 1_000), 700,
				Records.ONE);

		assertThat(figure(2_000, Measure.URGENT_FREE_P99)).isEqualTo(0.6, within(EXACT));
		assertThat(figure(2_000, Measure.RECLAIM_P99)).isNaN();
	}

	@Test
	void aJobInsideItsOwnersGuaranteeReclaimsWhenNothingIsFree() {
		this.records.alphaIsGuaranteed(new GuaranteedShape(1, Records.gang(1, 4, Adjacency.WORKER)));
		Records.attempt(this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 0, 90_000), 0, 5_000,
				Records.ONE);
		Records.attempt(this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 0, 90_000), 0, 9_000,
				Records.TWO);
		JobRecord owner = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 2_000, 3_000);
		Records.run(owner, 5_000, Records.ONE);
		JobRecord beyond = this.records.job(Records.ALPHA, Records.gang(1, 4, Adjacency.WORKER), 6_000, 3_000);
		Records.run(beyond, 9_000, Records.TWO);

		assertThat(figure(12_000, Measure.RECLAIM_P99)).isEqualTo(3.0, within(EXACT));
		assertThat(figure(12_000, Measure.RECLAIM_LATE)).isEqualTo(100.0, within(EXACT));
	}

	@Test
	void aBackloggedCustomerWaitsForItsGuaranteeUntilOneOfItsJobsIsPlaced() {
		this.records.alphaIsGuaranteed(new GuaranteedShape(1, Records.gang(1, 4, Adjacency.WORKER)));
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 1, Adjacency.WORKER), 0, 9_000), 0, Records.ONE);
		JobRecord first = this.records.job(Records.ALPHA, Records.gang(1, 3, Adjacency.WORKER), 1_000, 3_000);
		Records.run(first, 5_000, Records.ONE);
		JobRecord second = this.records.job(Records.ALPHA, Records.gang(1, 3, Adjacency.WORKER), 4_500, 1_000);
		Records.run(second, 8_500, Records.ONE);

		// 4 s for the first; the second waits 0.5 s before the first takes the spot and
		// 0.5 s after it ended
		assertThat(figure(10_000, Measure.ENTITLED_P99)).isEqualTo(4.0, within(EXACT));
		assertThat(figure(10_000, Measure.ENTITLED_LATE)).isEqualTo(100.0 / 3, within(EXACT));
	}

	@Test
	void theLongestWaitCountsJobsThatNeverStarted() {
		Records.run(this.records.job(Records.ALPHA, Records.gang(1, 1, Adjacency.WORKER), 0, 1_000), 500, Records.ONE);
		this.records.job(Records.BETA, Records.gang(1, 4, Adjacency.WORKER), 1_000, 1_000);

		assertThat(figure(121_000, Measure.LONGEST_WAIT)).isEqualTo(2.0, within(EXACT));
	}

	private double figure(long endMillis, Measure measure) {
		ReplayRecord record = this.records.endingAt(endMillis);
		Map<Measure, Double> figures = Measures.of(record, 0);
		return figures.get(measure);
	}

}
