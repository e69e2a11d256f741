package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.WorkflowScheduler.ClockReading;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against losing sound jobs in an outbreak: for six seconds a tenth of the workers
 * fail whatever they start, so they look free and attract one attempt after the other.
 * Meanwhile gangs and single tasks keep coming, and most sound workers are busy.
 */
class FailureOutbreakTests {

	/** Milliseconds between two arrivals, and the number of sizes of gangs. */
	private static final int[][] LOADS = { { 200, 5 }, { 250, 9 }, { 300, 3 }, { 300, 9 }, { 400, 7 } };

	// How faulty workers are detected is a feature of its own.
	private static final SchedulerPolicy SPREAD = SchedulerPolicy.DEFAULT
		.without(SchedulerFeature.BLAME_EARLY_FAILURES);

	private static final SchedulerPolicy NOT_SPREAD = SPREAD.without(SchedulerFeature.SPREAD_ATTEMPTS);

	@Test
	void noSoundJobIsLostWhileAttemptsAreSpread() {
		int lostIfNotSpread = 0;
		for (int[] load : LOADS) {
			Play spread = new Play(SPREAD, 3, load[0], load[1]);
			Play notSpread = new Play(NOT_SPREAD, 3, load[0], load[1]);
			assertThat(spread.unfinished).isEmpty();
			assertThat(spread.inTime).isGreaterThanOrEqualTo(notSpread.inTime);
			lostIfNotSpread += notSpread.unfinished.size();
		}
		assertThat(lostIfNotSpread).isPositive();
	}

	@Test
	void nothingChangesForQueuesWithoutSpareAttempts() {
		List<WorkflowCommand> commands = new Play(SPREAD, 2, 200, 5).commands;
		assertThat(commands.equals(new Play(NOT_SPREAD, 2, 200, 5).commands)).isTrue();
	}

	private static final class Play {

		private static final long STEP_MILLIS = 50;

		private static final long WORK_MILLIS = 2_000;

		private static final long OBJECTIVE_MILLIS = 3 * WORK_MILLIS + 1_000;

		private final List<WorkflowCommand> commands = new ArrayList<>();

		private final Map<String, Workflow> unfinished = new LinkedHashMap<>();

		private final Map<WorkflowCommand.StartRun, RunEnd> active = new LinkedHashMap<>();

		private final WorkflowScheduler scheduler;

		private long now;

		private int inTime;

		Play(SchedulerPolicy policy, int maxAttempts, int intervalMillis, int sizes) {
			this.scheduler = new DefaultWorkflowScheduler(policy);
			JobQueue queue = new JobQueue("q", "h", "/", "pool", 1, maxAttempts, 3, 1_000, false, false);
			feed(new WorkflowEvent.ConfigurationChanged(
					new FleetConfiguration(1, List.of(queue), List.of("pool"), List.of())));
			feed(new WorkflowEvent.TermBegan(1, List.of()));
			for (this.now = 0; this.now < 30_000; this.now += STEP_MILLIS) {
				for (int worker = 0; worker < 40; worker++) {
					report(worker);
				}
				if (this.now >= 1_000 && this.now < 15_000 && this.now % intervalMillis == 0) {
					long arrival = this.now / intervalMillis;
					submit("a" + arrival, arrival % 2 == 0, (int) (4 + arrival % sizes));
					submit("b" + arrival, false, 2);
				}
				feed(new WorkflowEvent.Tick());
				feed(new WorkflowEvent.PlacementDue());
			}
		}

		private void submit(String id, boolean gang, int tasks) {
			Step step = new Step(tasks, SchedulerFixture.amount(4), WORK_MILLIS, List.of(), false, gang,
					Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
			Workflow job = new Workflow(id, "q", "c", "p", List.of(step), Workflow.Schedule.ONCE, this.now);
			this.unfinished.put(id, job);
			feed(new WorkflowEvent.JobAccepted(job));
		}

		private void report(int worker) {
			List<WorkerReport.Running> running = new ArrayList<>();
			List<WorkerReport.Ended> ended = new ArrayList<>();
			for (WorkflowCommand.StartRun start : List.copyOf(this.active.keySet())) {
				RunEnd end = this.active.get(start);
				if (!start.target().equals("t" + worker)) {
					continue;
				}
				if (end.atMillis() > this.now) {
					running.add(new WorkerReport.Running(start.task(), start.run(), "", 10));
					continue;
				}
				ended.add(new WorkerReport.Ended(100 * this.now + ended.size(), start.task(), start.run(),
						end.outcome(), ""));
				this.active.remove(start);
			}
			if (!ended.isEmpty() || this.now % 500 == 0) {
				feed(new WorkflowEvent.WorkerReported(new WorkerReport("t" + worker,
						SchedulerFixture.description(worker, 1, false), 1, running, ended)));
			}
		}

		private void feed(WorkflowEvent event) {
			for (WorkflowCommand command : this.scheduler.handle(new ClockReading(this.now, this.now), event)) {
				this.commands.add(command);
				if (command instanceof WorkflowCommand.Persist persist) {
					feed(new WorkflowEvent.Persisted(persist.sequence()));
				}
				else if (command instanceof WorkflowCommand.StartRun start) {
					boolean faulty = start.target().matches("t[0-3]") && this.now >= 4_000 && this.now < 10_000;
					this.active.put(start, faulty ? new RunEnd(this.now + STEP_MILLIS, RunOutcome.FAILED)
							: new RunEnd(this.now + WORK_MILLIS, RunOutcome.DONE));
				}
				else if (command instanceof WorkflowCommand.StopRun stop) {
					RunEnd stopped = new RunEnd(this.now + STEP_MILLIS, RunOutcome.STOPPED);
					this.active.replaceAll((start, end) -> {
						boolean same = start.task().equals(stop.task()) && start.run() == stop.run();
						return (same && end.atMillis() > stopped.atMillis()) ? stopped : end;
					});
				}
				else if (command instanceof WorkflowCommand.LogDecision decision
						&& decision.event().equals("job-completed")) {
					Workflow job = this.unfinished.remove(decision.keysAndValues().get(1));
					this.inTime += (this.now - job.acceptedAtMillis() <= OBJECTIVE_MILLIS) ? 1 : 0;
				}
			}
		}

	}

	private record RunEnd(long atMillis, RunOutcome outcome) {
	}

}
