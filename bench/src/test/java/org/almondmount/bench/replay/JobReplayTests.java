package org.almondmount.bench.replay;

import java.util.Map;

import org.almondmount.bench.baseline.Baseline;
import org.almondmount.bench.baseline.BaselineScheduler;
import org.almondmount.bench.measure.Measure;
import org.almondmount.bench.measure.Measures;
import org.almondmount.bench.measure.SafetyChecker;
import org.almondmount.bench.workload.DiaryMix;
import org.almondmount.bench.workload.PlannedJob;
import org.almondmount.bench.workload.RenderMix;
import org.almondmount.bench.workload.Workload;
import org.almondmount.jobs.JobOutcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JobReplayTests {

	@Test
	void theSameSeedGivesTheSameRecord() {
		assertThat(figures(RenderMix.create(7))).isEqualTo(figures(RenderMix.create(7)));
	}

	@Test
	void anotherSeedGivesAnotherRecord() {
		assertThat(figures(RenderMix.create(7))).isNotEqualTo(figures(RenderMix.create(8)));
	}

	@Test
	void everyJobHasItsEndingAndImpossibleOnesAreRefused() {
		ReplayRecord record = replay(DiaryMix.create(1));

		assertThat(record.jobs()).hasSameSizeAs(record.workload().jobs());
		for (JobRecord job : record.jobs()) {
			assertThat(job.endedAt()).isNotEqualTo(AttemptRecord.UNSET);
			assertThat(job.refused()).isEqualTo(!job.planned().possible());
			assertThat(job.endedAt()).isLessThanOrEqualTo(record.endMillis());
		}
	}

	@Test
	void workThatSucceededRanForItsTrueTimeAndWhatItLost() {
		ReplayRecord record = replay(DiaryMix.create(2));

		for (JobRecord job : record.jobs()) {
			PlannedJob planned = job.planned();
			if (planned.completes() && job.ending() == JobOutcome.SUCCEEDED) {
				assertThat(worked(job)).as(planned.id().value()).isEqualTo(planned.trueRunMillis());
			}
		}
	}

	private static long worked(JobRecord job) {
		long worked = 0;
		for (AttemptRecord attempt : job.attempts()) {
			if (attempt.wholeAt() != AttemptRecord.UNSET) {
				worked += Math.max(0, attempt.stoppedAt() - attempt.wholeAt() - attempt.restoreMillis());
				worked -= attempt.lostMillis();
			}
		}
		return worked;
	}

	private static Map<Measure, Double> figures(Workload workload) {
		Map<Measure, Double> figures = Measures.of(replay(workload), 0);
		figures.remove(Measure.DECISION_P99);
		return figures;
	}

	private static ReplayRecord replay(Workload workload) {
		return new JobReplay(workload, new BaselineScheduler(Baseline.BEST_FIT_BACKFILL), new SafetyChecker(), 1).run();
	}

}
