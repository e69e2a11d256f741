package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.WorkflowScheduler.Instant;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;
import org.junit.jupiter.api.BeforeEach;

/**
 * A scheduler with three queues of priorities 0 to 2, workers of eight accelerators and
 * two customers with a guarantee of eight each; whatever it asks to be kept is kept at
 * once where a helper says so.
 */
abstract class SchedulerFixture {

	static final ResourceAmount CAPACITY = new ResourceAmount(128_000, 524_288, 8);

	/** After which a holder takes the workers that it knows for the whole fleet. */
	private static final long SETTLED_MILLIS = 1_000;

	private final WorkflowScheduler scheduler = new DefaultWorkflowScheduler(SchedulerPolicy.DEFAULT);

	final List<WorkflowCommand> commands = new ArrayList<>();

	long now = 100_000;

	long ends;

	@BeforeEach
	void configure() {
		List<JobQueue> queues = new ArrayList<>();
		for (int priority = 0; priority < 3; priority++) {
			queues.add(new JobQueue("q" + priority, "h", "/" + priority, "pool", priority, 2, 3, 1_000, false, false));
		}
		feed(new WorkflowEvent.ConfigurationChanged(new FleetConfiguration(1, queues, List.of("pool"),
				List.of(new FleetCustomer("c", Set.of("k"), 8), new FleetCustomer("other", Set.of("o"), 8)))));
	}

	void begin(int workers) {
		feed(new WorkflowEvent.TermBegan(1, List.of()));
		this.now += SETTLED_MILLIS;
		for (int worker = 0; worker < workers; worker++) {
			report(worker, false);
		}
	}

	void report(int worker, boolean draining) {
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t" + worker, description(worker, 1, draining), 1, List.of(), List.of())));
	}

	void report(int worker, String... labels) {
		WorkerDescription said = new WorkerDescription(new WorkerLife("w" + worker, 1), "pool", "z", Set.of(labels),
				CAPACITY, false, 0);
		feed(new WorkflowEvent.WorkerReported(new WorkerReport("t" + worker, said, 1, List.of(), List.of())));
	}

	static WorkerDescription description(int worker, long born, boolean draining) {
		return new WorkerDescription(new WorkerLife("w" + worker, born), "pool", "z", Set.of("r1-1"), CAPACITY,
				draining, 0);
	}

	void run(WorkflowCommand.StartRun start) {
		int worker = Integer.parseInt(start.target().substring(1));
		feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), description(worker, 1, false), 1,
				List.of(new WorkerReport.Running(start.task(), start.run(), "", 10)), List.of())));
	}

	/**
	 * Lets half a second pass, after which the first worker tells how far two runs are.
	 */
	List<WorkflowCommand> progress(List<WorkflowCommand.StartRun> starts, int first, int second) {
		this.now += 500;
		List<WorkerReport.Running> running = List.of(
				new WorkerReport.Running(starts.get(0).task(), starts.get(0).run(), "", first),
				new WorkerReport.Running(starts.get(1).task(), starts.get(1).run(), "", second));
		List<WorkflowCommand> commands = new ArrayList<>(feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 1, false), 1, running, List.of()))));
		commands.addAll(feed(new WorkflowEvent.Tick()));
		return commands;
	}

	List<WorkflowCommand> end(WorkflowCommand.StartRun start, RunEnding how) {
		int worker = Integer.parseInt(start.target().substring(1));
		return feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), description(worker, 1, false), 1,
				List.of(), List.of(new WorkerReport.Ended(++this.ends, start.task(), start.run(), how, "")))));
	}

	List<WorkflowCommand> endAndKeep(WorkflowCommand.StartRun start, RunEnding how) {
		List<WorkflowCommand> all = new ArrayList<>();
		WorkflowCommand.Keep keep = keepIn(end(start, how));
		all.addAll(feed(new WorkflowEvent.Kept(keep.sequence())));
		return all;
	}

	List<WorkflowCommand.StartRun> startsOf(Workflow job) {
		return keepAll(feed(new WorkflowEvent.JobAccepted(job)));
	}

	List<WorkflowCommand.StartRun> keepAll(List<WorkflowCommand> commands) {
		List<WorkflowCommand.StartRun> starts = new ArrayList<>(starts(commands));
		List<WorkflowCommand> next = commands;
		for (Optional<WorkflowCommand.Keep> keep = findKeep(next); keep.isPresent(); keep = findKeep(next)) {
			next = feed(new WorkflowEvent.Kept(keep.get().sequence()));
			starts.addAll(starts(next));
		}
		return starts;
	}

	static List<WorkflowCommand.StartRun> starts(List<WorkflowCommand> commands) {
		List<WorkflowCommand.StartRun> starts = new ArrayList<>();
		for (WorkflowCommand command : commands) {
			if (command instanceof WorkflowCommand.StartRun start) {
				starts.add(start);
			}
		}
		return starts;
	}

	static List<WorkflowCommand.StopRun> stops(List<WorkflowCommand> commands) {
		List<WorkflowCommand.StopRun> stops = new ArrayList<>();
		for (WorkflowCommand command : commands) {
			if (command instanceof WorkflowCommand.StopRun stop) {
				stops.add(stop);
			}
		}
		return stops;
	}

	static WorkflowCommand.Keep keepIn(List<WorkflowCommand> commands) {
		return findKeep(commands).orElseThrow();
	}

	static Optional<WorkflowCommand.Keep> findKeep(List<WorkflowCommand> commands) {
		for (WorkflowCommand command : commands) {
			if (command instanceof WorkflowCommand.Keep keep) {
				return Optional.of(keep);
			}
		}
		return Optional.empty();
	}

	/**
	 * Feeds an event and has waiting work placed, as a driver does that has time; a mere
	 * sign of life changes nothing that a driver would place for.
	 */
	List<WorkflowCommand> feed(WorkflowEvent event) {
		List<WorkflowCommand> answer = new ArrayList<>(feedAlone(event));
		if (!(event instanceof WorkflowEvent.WorkerHeard)) {
			answer.addAll(feedAlone(new WorkflowEvent.PlacementDue()));
		}
		return answer;
	}

	List<WorkflowCommand> feedAlone(WorkflowEvent event) {
		List<WorkflowCommand> answer = this.scheduler.handle(new Instant(this.now, this.now), event);
		this.commands.addAll(answer);
		return answer;
	}

	static ResourceAmount amount(long accelerators) {
		return new ResourceAmount(1_000, 1_000, accelerators);
	}

	static Step step(int count, long accelerators) {
		return new Step(count, amount(accelerators), 10_000, List.of(), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
	}

	static Step saving(int count, long accelerators) {
		return new Step(count, amount(accelerators), 10_000, List.of(), true, false, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
	}

	static Step gang(int count, long accelerators) {
		return new Step(count, amount(accelerators), 10_000, List.of(), false, true, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
	}

	Optional<JobPhase> phase(String job) {
		return this.scheduler.phase(job);
	}

	Workflow job(String id, int queue, Step... steps) {
		return jobOf("c", id, queue, steps);
	}

	Workflow jobOf(String customer, String id, int queue, Step... steps) {
		return new Workflow(id, "q" + queue, customer, "p", List.of(steps), Workflow.Schedule.ONCE, this.now);
	}

}
