package org.almondmount.bench.cost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowEvent;
import org.almondmount.workflow.WorkflowScheduler;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;

/**
 * A full fleet with a backlog of jobs of all kinds, as the scheduler for workflows sees
 * it. Each worker tells of itself in turn. Mutable; the same seed gives the same events.
 */
final class BusyFleet {

	private static final String POOL = "pool";

	private static final int WORKERS_A_RACK = 6;

	private static final ResourceAmount CAPACITY = new ResourceAmount(128_000, 262_144, 8);

	private static final int URGENT = 0;

	private static final int GANGS = 1;

	private static final int WIDE = 2;

	private static final long TICK_MILLIS = 50;

	private static final int WHOLE = 100;

	private final WorkflowScheduler scheduler = new DefaultWorkflowScheduler(SchedulerPolicy.DEFAULT);

	private final Random random = new Random(1);

	private final Map<String, Map<TaskId, Integer>> running = new LinkedHashMap<>();

	private final Map<String, Integer> percent = new HashMap<>();

	private final int workers;

	private long now = 1_000_000;

	private int jobs;

	private int next;

	BusyFleet(int workers) {
		this.workers = workers;
	}

	/** Begins a term, fills the fleet and leaves half as many jobs as workers waiting. */
	void fill() {
		List<JobQueue> queues = new ArrayList<>();
		for (int priority = URGENT; priority <= WIDE; priority++) {
			queues.add(new JobQueue("q" + priority, "h", "/" + priority, POOL, priority, 2, 3, 1_000, false, false));
		}
		FleetCustomer customer = new FleetCustomer("c", Set.of("k"), this.workers / 4);
		handle(new WorkflowEvent.ConfigurationChanged(
				new FleetConfiguration(1, queues, List.of(POOL), List.of(customer))));
		handle(new WorkflowEvent.TermBegan(1, List.of()));
		this.now += 2_000;
		for (int worker = 0; worker < this.workers; worker++) {
			this.running.put("t" + worker, new LinkedHashMap<>());
			take(handle(report("t" + worker)));
		}
		for (int job = 0; job < this.workers + this.workers / 2; job++) {
			take(handle(new WorkflowEvent.JobAccepted(job())));
		}
		take(handle(new WorkflowEvent.PlacementDue()));
	}

	/**
	 * The next event: a worker's report, with one run somewhat further.
	 * @return the event
	 */
	WorkflowEvent next() {
		this.now += TICK_MILLIS;
		this.next = (this.next + 1) % this.workers;
		return report("t" + this.next);
	}

	List<WorkflowCommand> handle(WorkflowEvent event) {
		return this.scheduler.handle(new WorkflowScheduler.ClockReading(this.now, this.now), event);
	}

	/**
	 * Carries out what the scheduler asked for.
	 * @param commands its commands
	 */
	void take(List<WorkflowCommand> commands) {
		for (WorkflowCommand command : commands) {
			if (command instanceof WorkflowCommand.Persist keep) {
				take(handle(new WorkflowEvent.Persisted(keep.sequence())));
			}
			else if (command instanceof WorkflowCommand.StartRun start) {
				this.running.get(start.target()).put(start.task(), start.run());
			}
			else if (command instanceof WorkflowCommand.StopRun stop) {
				this.running.get(stop.target()).remove(stop.task());
				take(handle(new WorkflowEvent.RunRefused(stop.target(), stop.task(), stop.run(), "stopped")));
			}
		}
	}

	private WorkflowEvent report(String target) {
		int worker = Integer.parseInt(target.substring(1));
		Set<String> labels = Set.of("a", "r1-" + worker / WORKERS_A_RACK);
		WorkerDescription said = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), POOL, "z" + worker % 3,
				labels, CAPACITY, false, 0);
		int progress = Math.min(WHOLE - 1, this.percent.merge(target, 1, Integer::sum));
		List<WorkerReport.Running> runs = new ArrayList<>();
		this.running.get(target).forEach((task, run) -> runs.add(new WorkerReport.Running(task, run, "", progress)));
		return new WorkflowEvent.WorkerReported(new WorkerReport(target, said, 1, runs, List.of()));
	}

	private Workflow job() {
		int queue = this.random.nextInt(WIDE + 1);
		String id = String.format("%016x", ++this.jobs);
		Step step = switch (queue) {
			case URGENT -> step(1 + this.random.nextInt(8), 15_000, 22_000, 1 + this.random.nextInt(4), 3_500, true);
			case GANGS -> step(1 + this.random.nextInt(16), 52_000, 140_000, 1 + this.random.nextInt(8), 16_000, true);
			default -> step(1 + this.random.nextInt(50), 11_000, 23_000, 1, 11_000, false);
		};
		return new Workflow(id, "q" + queue, "c", "p", List.of(step), Workflow.Schedule.ONCE, this.now);
	}

	private static Step step(int count, long cpuMillis, long memoryMb, long accelerators, long millis, boolean gang) {
		Step.Placement placement = new Step.Placement("", "", gang, 0);
		return new Step(count, new ResourceAmount(cpuMillis, memoryMb, accelerators), millis, List.of(), !gang, gang,
				placement, false, Step.ServiceSpec.NONE);
	}

}
