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
 * Replays jobs in virtual time on a fleet of workers with eight accelerators, seven a
 * rack. The scheduler sees callers' estimates; runs take their true time.
 */
final class ContentionReplay {

	private static final long STEP_MILLIS = 100;

	private static final long REPORT_MILLIS = 500;

	private static final int RACK_SIZE = 7;

	private final WorkflowScheduler scheduler;

	private final int workers;

	private final Map<String, Map<TaskId, PlayedRun>> running = new HashMap<>();

	private final Map<String, List<WorkerReport.Ended>> ends = new HashMap<>();

	private final Map<String, Long> accepted = new HashMap<>();

	private final Map<String, Long> started = new HashMap<>();

	private final Map<String, Long> completed = new HashMap<>();

	private final Map<String, Arrival> arrivals = new HashMap<>();

	final List<WorkflowCommand> commands = new ArrayList<>();

	private long now = 100_000;

	private long lastEnd;

	ContentionReplay(SchedulerPolicy policy, FleetConfiguration configuration, int workers) {
		this.scheduler = new DefaultWorkflowScheduler(policy);
		this.workers = workers;
		handle(new WorkflowEvent.ConfigurationChanged(configuration));
		handle(new WorkflowEvent.TermBegan(1, List.of()));
	}

	/**
	 * Plays the jobs for the given time or until all are completed, and returns what each
	 * customer got.
	 */
	Map<String, Served> play(List<Arrival> jobs, long millis) {
		long begin = this.now;
		jobs.forEach((arrival) -> this.arrivals.put(arrival.id(), arrival));
		for (; this.now < begin + millis && this.completed.size() < jobs.size(); this.now += STEP_MILLIS) {
			for (Arrival arrival : jobs) {
				if (begin + arrival.atMillis() == this.now) {
					this.accepted.put(arrival.id(), this.now);
					handle(new WorkflowEvent.JobAccepted(arrival.workflow(this.now)));
				}
			}
			for (int worker = 0; worker < this.workers; worker++) {
				report(worker);
			}
			handle(new WorkflowEvent.Tick());
			handle(new WorkflowEvent.PlacementDue());
			this.arrivals.keySet()
				.stream()
				.filter((id) -> this.scheduler.phase(id).equals(Optional.of(JobPhase.COMPLETED)))
				.forEach((id) -> this.completed.putIfAbsent(id, this.now));
		}
		Map<String, Served> served = new TreeMap<>();
		jobs.forEach((arrival) -> served.merge(arrival.customer(), outcome(arrival), Served::plus));
		return served;
	}

	long waitedMillis(String job) {
		return this.started.getOrDefault(job, this.now) - this.accepted.get(job);
	}

	private Served outcome(Arrival arrival) {
		long taken = this.completed.getOrDefault(arrival.id(), Long.MAX_VALUE) - this.accepted.get(arrival.id());
		long objective = 3 * arrival.trueMillis() + 1_000;
		boolean lost = taken > 3 * objective;
		boolean late = !lost && taken > objective;
		return new Served((lost || late) ? 0 : 1, late ? 1 : 0, lost ? 1 : 0, waitedMillis(arrival.id()));
	}

	private void report(int worker) {
		String target = "t" + worker;
		List<WorkerReport.Ended> ended = this.ends.computeIfAbsent(target, (key) -> new ArrayList<>());
		List<WorkerReport.Running> still = new ArrayList<>();
		for (PlayedRun run : List.copyOf(runs(target).values())) {
			if (run.endsAt() <= this.now) {
				end(target, run.task(), run.run(), RunOutcome.DONE);
			}
			else {
				still.add(new WorkerReport.Running(run.task(), run.run(), "", run.percent(this.now)));
			}
		}
		if (!ended.isEmpty() || this.now % REPORT_MILLIS == 0) {
			WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
					Set.of("r1-" + worker / RACK_SIZE), SchedulerFixture.CAPACITY, false, 0);
			handle(new WorkflowEvent.WorkerReported(
					new WorkerReport(target, description, 1, still, List.copyOf(ended))));
			ended.clear();
		}
	}

	private Map<TaskId, PlayedRun> runs(String target) {
		return this.running.computeIfAbsent(target, (key) -> new HashMap<>());
	}

	private void end(String target, TaskId task, int run, RunOutcome outcome) {
		runs(target).remove(task);
		this.ends.computeIfAbsent(target, (key) -> new ArrayList<>())
			.add(new WorkerReport.Ended(++this.lastEnd, task, run, outcome, ""));
	}

	private void handle(WorkflowEvent event) {
		for (WorkflowCommand command : this.scheduler.handle(new ClockReading(this.now, this.now), event)) {
			this.commands.add(command);
			if (command instanceof WorkflowCommand.Persist persist) {
				handle(new WorkflowEvent.Persisted(persist.sequence()));
			}
			else if (command instanceof WorkflowCommand.StartRun start) {
				long end = this.now + this.arrivals.get(start.task().job()).trueMillis();
				runs(start.target()).put(start.task(), new PlayedRun(start.task(), start.run(), this.now, end));
				this.started.putIfAbsent(start.task().job(), this.now);
			}
			else if (command instanceof WorkflowCommand.StopRun stop) {
				end(stop.target(), stop.task(), stop.run(), RunOutcome.STOPPED);
			}
		}
	}

	/** A job with its true run time. */
	record Arrival(long atMillis, String id, String customer, int priority, Step step, long trueMillis) {

		Workflow workflow(long acceptedAtMillis) {
			return new Workflow(this.id, "q" + this.priority, this.customer, "p", List.of(this.step),
					Workflow.Schedule.ONCE, acceptedAtMillis);
		}

	}

	/** What a customer got: jobs in time, late but useful, and of no use. */
	record Served(int inTime, int late, int lost, long longestWaitMillis) {

		int missed() {
			return this.late + this.lost;
		}

		int all() {
			return this.inTime + missed();
		}

		Served plus(Served other) {
			return new Served(this.inTime + other.inTime, this.late + other.late, this.lost + other.lost,
					Math.max(this.longestWaitMillis, other.longestWaitMillis));
		}

	}

	private record PlayedRun(TaskId task, int run, long startedAt, long endsAt) {

		int percent(long now) {
			return (int) (100 * (now - this.startedAt) / (this.endsAt - this.startedAt));
		}

	}

}
