package org.almondmount.jobs.impl;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobPolicy;
import org.almondmount.jobs.JobView;
import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;

/**
 * Simulates the store and the workers in virtual time, driven by the commands of the
 * scheduler. Keeps its own record of prepared and running tasks for the checks.
 */
final class VirtualFleet {

	static final Resources WORKER_CAPACITY = new Resources(8, 32, 131_072);

	final DefaultJobScheduler scheduler;

	final List<JobCommand> commands = new ArrayList<>();

	final Map<JobId, JobOutcome> endings = new LinkedHashMap<>();

	final Map<JobId, Refused> refusals = new LinkedHashMap<>();

	final Map<Task, TaskState> tasks = new LinkedHashMap<>();

	final Map<JobId, JobSpec> specs = new HashMap<>();

	final Set<WorkerId> lostWorkers = new HashSet<>();

	/** Workers on which every task fails. */
	final Set<WorkerId> failingWorkers = new HashSet<>();

	/** Jobs whose program fails. */
	final Set<JobId> failingJobs = new HashSet<>();

	/** Jobs that do not respond to the suspend command. */
	final Set<JobId> jobsIgnoringSuspend = new HashSet<>();

	final Map<JobId, Long> runMillis = new HashMap<>();

	final Map<JobId, Long> firstStartMillis = new HashMap<>();

	Consumer<VirtualFleet> afterEvent = (fleet) -> {
	};

	Configuration configuration = Configuration.EMPTY;

	long now;

	boolean workersRespond = true;

	private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledAction::atMillis).thenComparingLong(ScheduledAction::order));

	private long order;

	VirtualFleet(JobPolicy policy) {
		this.scheduler = new DefaultJobScheduler(policy);
	}

	static VirtualFleet of(int zones, int racks, int workers) {
		VirtualFleet fleet = new VirtualFleet(JobPolicy.DEFAULT);
		fleet.addWorkers(zones, racks, workers);
		return fleet;
	}

	void addWorkers(int zones, int racks, int workers) {
		for (int zone = 0; zone < zones; zone++) {
			for (int rack = 0; rack < racks; rack++) {
				for (int worker = 0; worker < workers; worker++) {
					String name = "w" + zone + "-" + rack + "-" + worker;
					feed(new JobEvent.WorkerJoined(new WorkerInfo(new WorkerId(name), new ZoneId("z" + zone),
							new RackId("r" + rack), WORKER_CAPACITY)));
				}
			}
		}
	}

	static GangShape gang(int members, int accelerators, Adjacency adjacency) {
		return new GangShape(members, new Resources(accelerators, accelerators * 2, accelerators * 1024), adjacency);
	}

	static JobSpec spec(String customer, GangShape shape) {
		return new JobSpec(new CustomerId(customer), "class", shape, Urgency.NORMAL, true, Duration.ofMinutes(1),
				Duration.ofSeconds(20), "run");
	}

	static JobSpec urgent(JobSpec spec) {
		return new JobSpec(spec.customer(), spec.jobClass(), spec.shape(), Urgency.URGENT, spec.repeatable(),
				spec.declaredRunTime(), spec.checkpointEvery(), spec.program());
	}

	static JobSpec nonRepeatable(JobSpec spec) {
		return new JobSpec(spec.customer(), spec.jobClass(), spec.shape(), spec.urgency(), false,
				spec.declaredRunTime(), Duration.ZERO, spec.program());
	}

	JobId submit(String id, JobSpec spec, long runMillis) {
		JobId job = new JobId(id);
		this.specs.put(job, spec);
		this.runMillis.put(job, runMillis);
		feed(new JobEvent.JobSubmitted(job, spec));
		return job;
	}

	void putCustomer(String customer, double weight, GuaranteedShape... shapes) {
		configure(this.configuration.withCustomer(new Customer(new CustomerId(customer), weight, List.of(shapes))));
	}

	void setZoneState(String zone, ZoneState state) {
		configure(this.configuration.withZone(new ZoneId(zone), state));
	}

	void configure(Configuration changed) {
		this.configuration = changed.withRevision(this.configuration.revision() + 1);
		feed(new JobEvent.ConfigurationChanged(this.configuration));
	}

	void loseWorker(WorkerId worker) {
		this.lostWorkers.add(worker);
		this.tasks.values().removeIf((task) -> task.worker.equals(worker));
		feed(new JobEvent.WorkerLost(worker));
	}

	void rejoinWorker(WorkerInfo worker) {
		this.lostWorkers.remove(worker.id());
		feed(new JobEvent.WorkerJoined(worker));
	}

	void feed(JobEvent event) {
		for (JobCommand command : this.scheduler.handle(this.now, event)) {
			this.commands.add(command);
			execute(command);
		}
		this.afterEvent.accept(this);
	}

	void runFor(long millis) {
		long end = this.now + millis;
		while (!this.scheduledActions.isEmpty() && this.scheduledActions.peek().atMillis <= end) {
			ScheduledAction due = this.scheduledActions.poll();
			this.now = Math.max(this.now, due.atMillis);
			due.action.run();
		}
		this.now = end;
	}

	JobView.Phase phase(JobId job) {
		return this.scheduler.job(job).map(JobView::phase).orElse(null);
	}

	long countStartedTasks(JobId job) {
		return this.tasks.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().attempt.job().equals(job) && entry.getValue().started)
			.count();
	}

	boolean holdsMember(JobView view, Assignment assignment) {
		return this.tasks.containsKey(new Task(new Attempt(view.job(), view.attempt()), assignment.member()));
	}

	private void schedule(long millis, Runnable action) {
		this.order++;
		this.scheduledActions.add(new ScheduledAction(this.now + millis, this.order, action));
	}

	private void scheduleReport(long millis, WorkerId worker, JobEvent event) {
		schedule(millis, () -> {
			if (!this.lostWorkers.contains(worker)) {
				feed(event);
			}
		});
	}

	private void execute(JobCommand command) {
		if (command instanceof JobCommand.Refuse refuse) {
			this.refusals.put(refuse.job(),
					new Refused(refuse.refusal().reason().externalName(), refuse.refusal().detail()));
		}
		else if (command instanceof JobCommand.Finish finish) {
			this.endings.put(finish.job(), finish.outcome());
		}
		else if (command instanceof JobCommand.WakeAt wake) {
			schedule(Math.max(0, wake.atMillis() - this.now), () -> feed(new JobEvent.Tick()));
		}
		else if (command instanceof JobCommand.CommitPlacement commit) {
			schedule(20, () -> feed(new JobEvent.PlacementCommitted(commit.attempt())));
		}
		else if (this.workersRespond) {
			executeOnWorker(command);
		}
	}

	private void executeOnWorker(JobCommand command) {
		if (command instanceof JobCommand.Prepare prepare && !this.lostWorkers.contains(prepare.worker())) {
			Task task = new Task(prepare.attempt(), prepare.member());
			this.tasks.put(task, new TaskState(prepare.worker(), prepare.spec()));
			scheduleReport(5, prepare.worker(), new JobEvent.MemberPrepared(prepare.attempt(), prepare.member()));
		}
		else if (command instanceof JobCommand.Start start) {
			start(new Task(start.attempt(), start.member()));
		}
		else if (command instanceof JobCommand.Suspend suspend) {
			if (!this.jobsIgnoringSuspend.contains(suspend.attempt().job())) {
				schedule(500, () -> end(new Task(suspend.attempt(), suspend.member()), JobOutcome.SUSPENDED));
			}
		}
		else if (command instanceof JobCommand.Stop stop) {
			schedule(5, () -> end(new Task(stop.attempt(), stop.member()), JobOutcome.STOPPED));
		}
		else if (command instanceof JobCommand.Abort abort) {
			schedule(5, () -> abort(new Task(abort.attempt(), abort.member()), abort.worker()));
		}
	}

	private void start(Task task) {
		TaskState running = this.tasks.get(task);
		if (running == null) {
			return;
		}
		running.started = true;
		JobId job = task.attempt.job();
		this.firstStartMillis.putIfAbsent(job, this.now);
		scheduleReport(5, running.worker, new JobEvent.MemberStarted(task.attempt, task.member));
		if (this.failingWorkers.contains(running.worker)) {
			schedule(50, () -> end(task, JobOutcome.WORKER_FAILED));
		}
		else if (this.failingJobs.contains(job)) {
			schedule(50, () -> end(task, JobOutcome.FAILED));
		}
		else {
			schedule(this.runMillis.getOrDefault(job, 60_000L), () -> end(task, JobOutcome.SUCCEEDED));
		}
	}

	private void abort(Task task, WorkerId worker) {
		if (this.lostWorkers.contains(worker)) {
			return;
		}
		if (this.tasks.containsKey(task)) {
			end(task, JobOutcome.STOPPED);
			return;
		}
		feed(new JobEvent.MemberRefused(task.attempt, task.member, "aborted"));
	}

	private void end(Task task, JobOutcome ending) {
		TaskState running = this.tasks.remove(task);
		if (running != null) {
			feed(new JobEvent.MemberEnded(task.attempt, task.member, ending));
		}
	}

	record Task(Attempt attempt, int member) {

	}

	record Refused(String reason, String detail) {

	}

	private record ScheduledAction(long atMillis, long order, Runnable action) {

	}

	/**
	 * A member that is prepared or running on a worker.
	 */
	static final class TaskState {

		final WorkerId worker;

		final JobSpec spec;

		boolean started;

		TaskState(WorkerId worker, JobSpec spec) {
			this.worker = worker;
			this.spec = spec;
		}

	}

}
