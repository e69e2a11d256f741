package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.almondmount.workflow.WorkflowScheduler.ClockReading;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;

/**
 * Replays a burst of urgent gangs on a fleet that is full of other gangs and of single
 * tasks. One customer is guaranteed a quarter of the fleet, two others little.
 */
final class FullFleetReplay {

	private static final Map<String, Long> GUARANTEES = new TreeMap<>(Map.of("large", 126L, "small", 16L, "tiny", 8L));

	private static final ResourceAmount CAPACITY = new ResourceAmount(128_000, 524_288, 8);

	private static final int WORKERS = 63;

	private static final int WORKERS_PER_RACK = 7;

	private static final int BACKGROUND_JOBS = 200;

	private static final int STEP_MILLIS = 100;

	private static final int STEPS = 1_000;

	private static final int STOP_STEPS = 3;

	private static final int REPORT_STEPS = 5;

	private final Random random;

	private final WorkflowScheduler scheduler;

	private final List<SimulatedWorker> workers = new ArrayList<>();

	private final Map<String, JobQueue> queues = new TreeMap<>();

	private final Map<TaskId, Long> savedMillis = new HashMap<>();

	final Map<String, Outcome> outcomes = new LinkedHashMap<>();

	final List<WorkflowCommand> commands = new ArrayList<>();

	private long now = 100_000;

	FullFleetReplay(long seed, SchedulerPolicy policy) {
		this.random = new Random(seed);
		this.scheduler = new DefaultWorkflowScheduler(policy);
		for (int index = 0; index < WORKERS; index++) {
			this.workers.add(new SimulatedWorker(index));
		}
		configure();
		for (int job = 0; job < BACKGROUND_JOBS; job++) {
			accept(background(job));
		}
		for (int step = 1; step < STEPS; step++) {
			advance(step);
		}
	}

	long count(Predicate<Outcome> matches) {
		return this.outcomes.values().stream().filter(matches).count();
	}

	double lostCoreSeconds() {
		double lost = 0;
		for (WorkflowCommand command : this.commands) {
			if (command instanceof WorkflowCommand.AccountWork work && work.outcome() == WorkOutcome.GAVE_WAY) {
				lost += work.coreSeconds();
			}
		}
		return lost;
	}

	private void configure() {
		this.queues.put("q0", new JobQueue("q0", "h", "/0", "pool", 0, 2, 1.5, 250, false, false));
		this.queues.put("q1", new JobQueue("q1", "h", "/1", "pool", 1, 2, 3, 1_000, false, false));
		this.queues.put("q2", new JobQueue("q2", "h", "/2", "pool", 2, 2, 3, 3_000, false, false));
		List<FleetCustomer> customers = new ArrayList<>();
		GUARANTEES.forEach((name, amount) -> customers.add(new FleetCustomer(name, Set.of(name), amount)));
		feed(new WorkflowEvent.ConfigurationChanged(
				new FleetConfiguration(1, List.copyOf(this.queues.values()), List.of("pool"), customers)));
		feed(new WorkflowEvent.TermBegan(1, List.of()));
		this.workers.forEach(SimulatedWorker::report);
	}

	private void advance(int step) {
		this.now += STEP_MILLIS;
		if (step >= 40 && step < 90 && step % 4 == 0) {
			accept(job("urgent" + step, 0, 5 + this.random.nextInt(10), 15, 1 + this.random.nextInt(8), 2_500));
		}
		this.workers.forEach((worker) -> worker.advance(step));
		feed(new WorkflowEvent.Tick());
		feed(new WorkflowEvent.PlacementDue());
	}

	private Workflow background(int number) {
		return (number % 3 > 0)
				? job("gang" + number, 1, 3 + this.random.nextInt(10), 52, 4 + this.random.nextInt(5), 7_000)
				: job("singles" + number, 2, 1 + this.random.nextInt(60), 11, 1, 9_000);
	}

	private Workflow job(String id, int priority, int tasks, long cores, long accelerators, long millis) {
		boolean gang = priority < 2;
		boolean savesCheckpoints = priority > 0 && this.random.nextInt(100) < 45;
		Step.Placement placement = new Step.Placement("", "", gang && this.random.nextInt(100) < 70, 0);
		Step step = new Step(tasks, new ResourceAmount(cores * 1_000, 50_000, accelerators), millis, List.of(),
				savesCheckpoints, gang, placement, false, Step.ServiceSpec.NONE);
		String customer = (this.random.nextInt(3) > 0) ? "large" : (this.random.nextBoolean() ? "small" : "tiny");
		return new Workflow(id, "q" + priority, customer, "p", List.of(step), Workflow.Schedule.ONCE, this.now);
	}

	private void accept(Workflow job) {
		Outcome accepted = new Outcome(job);
		this.outcomes.put(job.id(), accepted);
		long accelerators = 0;
		for (Outcome outcome : this.outcomes.values()) {
			boolean sameGuarantee = outcome.urgent() && outcome.job.customer().equals(job.customer());
			accelerators += (sameGuarantee && outcome.endedMillis == 0) ? outcome.accelerators() : 0;
		}
		accepted.guaranteed = accepted.urgent() && accelerators <= GUARANTEES.get(job.customer());
		feed(new WorkflowEvent.JobAccepted(job));
	}

	private void feed(WorkflowEvent event) {
		for (WorkflowCommand command : this.scheduler.handle(new ClockReading(this.now, this.now), event)) {
			this.commands.add(command);
			if (command instanceof WorkflowCommand.Persist persist) {
				feed(new WorkflowEvent.Persisted(persist.sequence()));
			}
			else if (command instanceof WorkflowCommand.StartRun start) {
				worker(start.target()).start(start);
			}
			else if (command instanceof WorkflowCommand.StopRun stop) {
				worker(stop.target()).stop(stop);
			}
			else if (command instanceof WorkflowCommand.AcknowledgeEnds ack) {
				worker(ack.target()).ended.removeIf((end) -> end.sequence() <= ack.upToSequence());
			}
			else if (command instanceof WorkflowCommand.LogDecision log && log.event().equals("job-completed")) {
				this.outcomes.get(log.keysAndValues().get(1)).endedMillis = this.now;
			}
		}
	}

	private SimulatedWorker worker(String target) {
		return this.workers.get(Integer.parseInt(target.substring(1)));
	}

	/** What became of a job. */
	final class Outcome {

		final Workflow job;

		boolean guaranteed;

		/** The times at which any of its runs were stopped. */
		final Set<Long> stops = new TreeSet<>();

		long begunMillis;

		long endedMillis;

		Outcome(Workflow job) {
			this.job = job;
		}

		Step step() {
			return this.job.steps().get(0);
		}

		boolean urgent() {
			return this.job.queue().equals("q0");
		}

		long accelerators() {
			return step().taskCount() * step().demand().accelerators();
		}

		double coreSeconds() {
			return step().taskCount() * step().demand().coreEquivalents() * step().estimateMillis() / 1_000;
		}

		boolean inTime() {
			JobQueue queue = FullFleetReplay.this.queues.get(this.job.queue());
			double objective = queue.criticalPathFactor() * step().estimateMillis() + queue.latencyAllowanceMillis();
			return this.endedMillis > 0 && this.endedMillis <= this.job.acceptedAtMillis() + objective;
		}

		long waitedMillis() {
			return this.begunMillis - this.job.acceptedAtMillis();
		}

	}

	/** A worker that carries out commands at once and takes a while to stop a run. */
	private final class SimulatedWorker {

		private final String target;

		private final WorkerDescription description;

		private final Map<TaskId, SimulatedRun> running = new LinkedHashMap<>();

		private final List<WorkerReport.Ended> ended = new ArrayList<>();

		private long sequence;

		SimulatedWorker(int index) {
			this.target = "t" + index;
			this.description = new WorkerDescription(new WorkerIncarnation("w" + index, 1), "pool", "z",
					Set.of("r1-" + index / WORKERS_PER_RACK), CAPACITY, false, 0);
		}

		void start(WorkflowCommand.StartRun start) {
			Outcome outcome = FullFleetReplay.this.outcomes.get(start.task().job());
			outcome.begunMillis = (outcome.begunMillis == 0) ? FullFleetReplay.this.now : outcome.begunMillis;
			this.running.put(start.task(), new SimulatedRun(start, outcome.step()));
		}

		void stop(WorkflowCommand.StopRun stop) {
			SimulatedRun run = this.running.get(stop.task());
			if (run != null && run.stopSteps < 0) {
				run.stopSteps = STOP_STEPS;
				FullFleetReplay.this.outcomes.get(stop.task().job()).stops.add(FullFleetReplay.this.now);
			}
		}

		void advance(int step) {
			int before = this.running.size();
			for (SimulatedRun run : List.copyOf(this.running.values())) {
				if (run.advance()) {
					this.running.remove(run.start.task());
					this.ended.add(run.end(++this.sequence));
				}
			}
			if (this.running.size() < before || step % REPORT_STEPS == 0) {
				report();
			}
		}

		void report() {
			List<WorkerReport.Running> runs = this.running.values().stream().map(SimulatedRun::report).toList();
			feed(new WorkflowEvent.WorkerReported(
					new WorkerReport(this.target, this.description, 1, runs, List.copyOf(this.ended))));
		}

	}

	/** A run that works as long as was estimated, less what was saved. */
	private final class SimulatedRun {

		private final WorkflowCommand.StartRun start;

		private final Step step;

		private long workedMillis;

		private int stopSteps = -1;

		SimulatedRun(WorkflowCommand.StartRun start, Step step) {
			this.start = start;
			this.step = step;
			this.workedMillis = start.checkpoint().isEmpty() ? 0
					: FullFleetReplay.this.savedMillis.get(start.task()) - Checkpointing.DEFAULT.restoreMillis();
		}

		boolean advance() {
			this.workedMillis += STEP_MILLIS;
			return done() || this.stopSteps >= 0 && this.stopSteps-- == 0;
		}

		boolean done() {
			return this.workedMillis >= this.step.estimateMillis();
		}

		WorkerReport.Running report() {
			long percent = Math.max(0, 100 * this.workedMillis / this.step.estimateMillis());
			return new WorkerReport.Running(this.start.task(), this.start.run(), "", (int) percent);
		}

		WorkerReport.Ended end(long sequence) {
			FullFleetReplay.this.savedMillis.put(this.start.task(), this.workedMillis);
			String checkpoint = (!done() && this.step.savesCheckpoints()) ? "%08d".formatted(this.workedMillis) : "";
			return new WorkerReport.Ended(sequence, this.start.task(), this.start.run(),
					done() ? RunOutcome.DONE : RunOutcome.STOPPED, checkpoint);
		}

	}

}
