package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.almondmount.workflow.WorkflowScheduler.ClockReading;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;

/**
 * Replays gangs and single tasks on 75 workers of which seven fail, for five seconds,
 * whatever they start. Some jobs are poisoned: their first task fails on every worker.
 */
final class OutbreakReplay {

	static final int FAULTY_WORKERS = 7;

	/** Time of all workers while jobs arrive, in milliseconds. */
	static final long ROOM_MILLIS = 75 * 20_000L;

	private static final long OUTBREAK_BEGINS = 8_000;

	private static final long OUTBREAK_ENDS = 13_000;

	private static final int STEP_MILLIS = 10;

	private static final int STEPS_PER_POLL = 25;

	private static final long FIRST_PAUSE_MILLIS = 2_000;

	private static final int GANG_SIZE = 8;

	private static final double POISONED_SHARE = 0.03;

	private static final double FAILURE_RATE = 0.01;

	private final WorkflowScheduler scheduler;

	private final Random random;

	private final Map<String, Active> active = new LinkedHashMap<>();

	private final Map<String, List<WorkerReport.Ended>> ends = new LinkedHashMap<>();

	private final Set<String> poisonedJobs = new HashSet<>();

	private long now;

	private long sequence;

	final Set<String> attemptsLost = new HashSet<>();

	int soundJobsGivenUp;

	long soundWorkersPausedMillis;

	OutbreakReplay(SchedulerPolicy policy, long seed) {
		this.scheduler = new DefaultWorkflowScheduler(policy);
		this.random = new Random(seed);
		for (int worker = 0; worker < 75; worker++) {
			this.ends.put("t" + worker, new ArrayList<>());
		}
	}

	OutbreakReplay run() {
		JobQueue queue = new JobQueue("q1", "h", "/", "pool", 1, 3, 3, 1_000, false, false);
		feed(new WorkflowEvent.ConfigurationChanged(
				new FleetConfiguration(1, List.of(queue), List.of("pool"), List.of())));
		feed(new WorkflowEvent.TermBegan(1, List.of()));
		for (; this.now < 40_000; this.now += STEP_MILLIS) {
			if (this.now >= 1_000 && this.now < 20_000) {
				arrive();
			}
			List.copyOf(this.active.values()).forEach(this::endIfDue);
			for (int worker = 0; worker < this.ends.size(); worker++) {
				if ((this.now / STEP_MILLIS + worker) % STEPS_PER_POLL == 0) {
					report(worker);
				}
			}
			feed(new WorkflowEvent.PlacementDue());
		}
		return this;
	}

	private void arrive() {
		if (this.now % 300 == 0) {
			accept("gang" + this.now, SchedulerFixture.gangStep(GANG_SIZE, 2));
		}
		if (this.now % 60 == 0) {
			accept("single" + this.now, SchedulerFixture.step(1, 1));
		}
	}

	private void accept(String id, Step step) {
		if (this.random.nextDouble() < POISONED_SHARE) {
			this.poisonedJobs.add(id);
		}
		feed(new WorkflowEvent.JobAccepted(
				new Workflow(id, "q1", "c", "p", List.of(step), Workflow.Schedule.ONCE, this.now)));
	}

	private void begin(StartRun start) {
		this.active.put(start.task() + "/" + start.run(), new Active(start));
		List<Active> members = members(start.task(), start.run());
		if (start.task().job().startsWith("single") || members.size() == GANG_SIZE) {
			long workMillis = 4_000 + this.random.nextInt(8_000);
			members.forEach((member) -> member.work(workMillis));
		}
	}

	private List<Active> members(TaskId task, int run) {
		return this.active.values()
			.stream()
			.filter((other) -> other.start.task().job().equals(task.job()) && other.start.run() == run)
			.toList();
	}

	private void endIfDue(Active due) {
		if (due.endsMillis > this.now || !this.active.containsValue(due)) {
			return;
		}
		for (Active member : members(due.start.task(), due.start.run())) {
			boolean broken = member != due && due.outcome != RunOutcome.DONE;
			end(member.start.target(), member.start.task(), member.start.run(),
					broken ? RunOutcome.BROKEN : due.outcome);
		}
	}

	private void end(String target, TaskId task, int run, RunOutcome outcome) {
		this.active.remove(task + "/" + run);
		this.ends.get(target).add(new WorkerReport.Ended(++this.sequence, task, run, outcome, ""));
	}

	private void report(int worker) {
		String target = "t" + worker;
		List<WorkerReport.Running> running = this.active.values()
			.stream()
			.filter((run) -> run.start.target().equals(target))
			.map((run) -> new WorkerReport.Running(run.start.task(), run.start.run(), "", 1))
			.toList();
		feed(new WorkflowEvent.WorkerReported(new WorkerReport(target, SchedulerFixture.description(worker, 1, false),
				1, running, this.ends.get(target))));
	}

	private void feed(WorkflowEvent event) {
		this.scheduler.handle(new ClockReading(100_000 + this.now, 100_000 + this.now), event).forEach(this::execute);
	}

	private void execute(WorkflowCommand command) {
		if (command instanceof WorkflowCommand.Persist persist) {
			feed(new WorkflowEvent.Persisted(persist.sequence()));
		}
		else if (command instanceof StartRun start) {
			begin(start);
		}
		else if (command instanceof WorkflowCommand.StopRun stop) {
			end(stop.target(), stop.task(), stop.run(), RunOutcome.STOPPED);
		}
		else if (command instanceof WorkflowCommand.AcknowledgeEnds acknowledged) {
			this.ends.get(acknowledged.target()).removeIf((end) -> end.sequence() <= acknowledged.upToSequence());
		}
		else if (command instanceof WorkflowCommand.LogDecision decision) {
			observe(decision.event(), decision.keysAndValues());
		}
	}

	private void observe(String event, List<Object> values) {
		if (event.equals("worker-paused") && !isFaulty(values.get(1).toString())) {
			int pause = values.indexOf("pauseMillis");
			this.soundWorkersPausedMillis += (pause >= 0) ? (long) values.get(pause + 1) : FIRST_PAUSE_MILLIS;
		}
		if (event.equals("job-failed") && !this.poisonedJobs.contains(values.get(1).toString())) {
			this.soundJobsGivenUp++;
		}
	}

	private static boolean isFaulty(String target) {
		return Integer.parseInt(target.substring(1)) < FAULTY_WORKERS;
	}

	private final class Active {

		private final StartRun start;

		private final boolean fails;

		private long endsMillis = Long.MAX_VALUE;

		private RunOutcome outcome = RunOutcome.DONE;

		Active(StartRun start) {
			this.start = start;
			long begins = OutbreakReplay.this.now;
			this.fails = isFaulty(start.target()) && begins >= OUTBREAK_BEGINS && begins < OUTBREAK_ENDS;
		}

		void work(long workMillis) {
			Random dice = OutbreakReplay.this.random;
			String job = this.start.task().job();
			this.endsMillis = OutbreakReplay.this.now + workMillis;
			if (this.fails) {
				failAfter(30 + dice.nextInt(70));
				OutbreakReplay.this.attemptsLost.add(job + "/" + this.start.run());
			}
			else if (OutbreakReplay.this.poisonedJobs.contains(job) && this.start.task().index() == 0) {
				failAfter(1_200 + dice.nextInt(2_600));
			}
			else if (dice.nextDouble() < FAILURE_RATE) {
				failAfter(dice.nextInt((int) workMillis));
			}
		}

		private void failAfter(long millis) {
			this.endsMillis = OutbreakReplay.this.now + millis;
			this.outcome = RunOutcome.FAILED;
		}

	}

}
