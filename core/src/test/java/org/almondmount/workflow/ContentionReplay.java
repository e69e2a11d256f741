package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.almondmount.workflow.WorkflowScheduler.ClockReading;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;

/**
 * Replays jobs in virtual time on workers with eight accelerators, seven workers a rack.
 * The scheduler sees callers' estimates; runs take their true time.
 */
final class ContentionReplay {

	private static final long STEP_MILLIS = 100;

	private static final long REPORT_MILLIS = 500;

	final List<WorkflowCommand> commands = new ArrayList<>();

	private final WorkflowScheduler scheduler;

	private final int workers;

	private final Map<String, List<PlayedRun>> running = new HashMap<>();

	private final Map<String, List<WorkerReport.Ended>> ends = new HashMap<>();

	private final Map<String, Arrival> jobs = new HashMap<>();

	private final Map<String, Long> started = new HashMap<>();

	private final Map<String, Long> completed = new HashMap<>();

	private long now;

	private long lastEnd;

	ContentionReplay(SchedulerPolicy policy, FleetConfiguration configuration, int workers) {
		this.scheduler = new DefaultWorkflowScheduler(policy);
		this.workers = workers;
		handle(new WorkflowEvent.ConfigurationChanged(configuration));
		handle(new WorkflowEvent.TermBegan(1, List.of()));
	}

	/** Plays the jobs until all are completed or the time is over. */
	Map<String, Served> play(List<Arrival> arrivals, long millis) {
		arrivals.forEach((arrival) -> this.jobs.put(arrival.id(), arrival));
		for (; this.now < millis && this.completed.size() < arrivals.size(); this.now += STEP_MILLIS) {
			arrivals.stream()
				.filter((arrival) -> arrival.atMillis() == this.now)
				.forEach((arrival) -> handle(new WorkflowEvent.JobAccepted(arrival.workflow())));
			for (int worker = 0; worker < this.workers; worker++) {
				report("t" + worker, worker);
			}
			handle(new WorkflowEvent.Tick());
			handle(new WorkflowEvent.PlacementDue());
			for (String job : this.started.keySet()) {
				if (this.scheduler.phase(job).equals(Optional.of(JobPhase.COMPLETED))) {
					this.completed.putIfAbsent(job, this.now);
				}
			}
		}
		Map<String, Served> served = new TreeMap<>();
		arrivals.forEach((arrival) -> served.merge(arrival.customer(), outcome(arrival), Served::plus));
		return served;
	}

	long waitedMillis(String job) {
		return this.started.getOrDefault(job, this.now) - this.jobs.get(job).atMillis();
	}

	private Served outcome(Arrival arrival) {
		long objective = 3 * arrival.trueMillis() + 1_000;
		long taken = this.completed.getOrDefault(arrival.id(), Long.MAX_VALUE) - arrival.atMillis();
		boolean lost = taken > 3 * objective;
		boolean late = !lost && taken > objective;
		return new Served((lost || late) ? 0 : 1, late ? 1 : 0, lost ? 1 : 0);
	}

	private void report(String target, int worker) {
		List<PlayedRun> runs = this.running.computeIfAbsent(target, (key) -> new ArrayList<>());
		List<WorkerReport.Ended> ended = this.ends.computeIfAbsent(target, (key) -> new ArrayList<>());
		runs.stream().filter((run) -> run.end <= this.now).forEach((run) -> ended.add(run.ended(++this.lastEnd)));
		runs.removeIf((run) -> run.end <= this.now);
		if (!ended.isEmpty() || this.now % REPORT_MILLIS == 0) {
			WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
					Set.of("r1-" + worker / 7), SchedulerFixture.CAPACITY, false, 0);
			handle(new WorkflowEvent.WorkerReported(new WorkerReport(target, description, 1,
					runs.stream().map((run) -> run.running(this.now)).toList(), List.copyOf(ended))));
			ended.clear();
		}
	}

	private void handle(WorkflowEvent event) {
		for (WorkflowCommand command : this.scheduler.handle(new ClockReading(this.now, this.now), event)) {
			this.commands.add(command);
			if (command instanceof WorkflowCommand.Persist persist) {
				handle(new WorkflowEvent.Persisted(persist.sequence()));
			}
			else if (command instanceof WorkflowCommand.StartRun start) {
				String job = start.task().job();
				this.running.get(start.target())
					.add(new PlayedRun(start.task(), start.run(), this.now,
							this.now + this.jobs.get(job).trueMillis()));
				this.started.putIfAbsent(job, this.now);
			}
			else if (command instanceof WorkflowCommand.StopRun stop) {
				this.running.get(stop.target()).removeIf((run) -> run.task.equals(stop.task()));
				this.ends.get(stop.target())
					.add(new WorkerReport.Ended(++this.lastEnd, stop.task(), stop.run(), RunOutcome.STOPPED, ""));
			}
		}
	}

	/** A job with its true run time. */
	record Arrival(long atMillis, String id, String customer, int priority, Step step, long trueMillis) {

		Workflow workflow() {
			return new Workflow(this.id, "q" + this.priority, this.customer, "p", List.of(this.step),
					Workflow.Schedule.ONCE, this.atMillis);
		}

	}

	/** What a customer got: jobs in time, late but useful, and of no use. */
	record Served(int inTime, int late, int lost) {

		int missed() {
			return this.late + this.lost;
		}

		Served plus(Served other) {
			return new Served(this.inTime + other.inTime, this.late + other.late, this.lost + other.lost);
		}

	}

	private record PlayedRun(TaskId task, int run, long start, long end) {

		WorkerReport.Running running(long now) {
			return new WorkerReport.Running(this.task, this.run, "",
					(int) (100 * (now - this.start) / (this.end - this.start)));
		}

		WorkerReport.Ended ended(long sequence) {
			return new WorkerReport.Ended(sequence, this.task, this.run, RunOutcome.DONE, "");
		}

	}

}
