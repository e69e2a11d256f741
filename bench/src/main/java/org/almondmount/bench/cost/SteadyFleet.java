package org.almondmount.bench.cost;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.almondmount.bench.workload.LetterMix;
import org.almondmount.bench.workload.PlannedJob;
import org.almondmount.bench.workload.Workload;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.jobs.JobSchedulerFactory;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerInfo;

/**
 * A scheduler with the letter's load for a number of workers, kept at that load: when
 * nothing else is under way, the oldest gang ends and a like one is submitted, or a
 * member reports. Every command is answered at once. Not thread-safe.
 */
public final class SteadyFleet {

	private static final int LETTER_WORKERS = 29_000;

	private static final int REPORTS_FOR_EACH_END = 50;

	private static final long MILLIS_BETWEEN_IDLE_EVENTS = 20;

	private static final long SEED = 1;

	private final JobScheduler scheduler = JobSchedulerFactory.create();

	private final Deque<JobEvent> queue = new ArrayDeque<>();

	private final Map<Attempt, Integer> running = new LinkedHashMap<>();

	private final Random random = new Random(SEED);

	private final Workload workload;

	private long now = 1;

	private int idleEvents;

	private int submitted;

	private int tasks;

	public SteadyFleet(int workers) {
		this.workload = LetterMix.create(SEED, (double) workers / LETTER_WORKERS, Duration.ofMinutes(2));
	}

	/** Fills the fleet; takes seconds at the largest size. */
	public void fill() {
		take(new JobEvent.ConfigurationChanged(this.workload.configuration()));
		for (WorkerInfo worker : this.workload.workers()) {
			take(new JobEvent.WorkerJoined(worker));
		}
		take(new JobEvent.StartsAllowed(true));
		for (PlannedJob job : this.workload.jobs()) {
			this.now += 1;
			submit(job.spec());
			settle();
		}
	}

	/** Carries on until nothing is under way. */
	public void settle() {
		while (!this.queue.isEmpty()) {
			take(this.queue.poll());
		}
	}

	/**
	 * The next event, not yet taken.
	 * @return an event that keeps the fleet at its load
	 */
	public JobEvent next() {
		if (!this.queue.isEmpty()) {
			return this.queue.poll();
		}
		this.now += MILLIS_BETWEEN_IDLE_EVENTS;
		this.idleEvents++;
		if (this.idleEvents % REPORTS_FOR_EACH_END == 0) {
			endOldest();
			submit(randomSpec());
			return this.queue.poll();
		}
		if (this.idleEvents % REPORTS_FOR_EACH_END == 1) {
			return new JobEvent.Tick();
		}
		return report();
	}

	/**
	 * Gives an event to the scheduler and queues the answers to its commands.
	 * @param event the event
	 * @return the scheduler's commands
	 */
	public List<JobCommand> take(JobEvent event) {
		List<JobCommand> commands = decide(event);
		answer(commands);
		return commands;
	}

	/**
	 * Gives an event to the scheduler and does nothing else.
	 * @param event the event
	 * @return the scheduler's commands
	 */
	public List<JobCommand> decide(JobEvent event) {
		return this.scheduler.handle(this.now, event);
	}

	/**
	 * Queues the answers to commands.
	 * @param commands what the scheduler asked for
	 */
	public void answer(List<JobCommand> commands) {
		commands.forEach(this::answer);
	}

	/**
	 * A gang of 512 tasks in one zone, ready to be submitted.
	 * @return the event
	 */
	public JobEvent.JobSubmitted largeGang() {
		this.now += 1_000;
		Resources each = new Resources(0, 1, 1_024);
		JobSpec spec = new JobSpec(customer(), "large", new GangShape(GangShape.MAX_MEMBERS, each, Adjacency.ZONE),
				Urgency.NORMAL, true, Duration.ofHours(1), Duration.ofMinutes(10), "run");
		return new JobEvent.JobSubmitted(new JobId("large-" + this.submitted++), spec);
	}

	/**
	 * Cancels a job and carries on until nothing is under way.
	 * @param job its identifier
	 */
	public void remove(JobId job) {
		take(new JobEvent.JobCancelled(job));
		settle();
	}

	public JobScheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Members that run now.
	 * @return a count
	 */
	public int tasks() {
		return this.tasks;
	}

	private void answer(JobCommand command) {
		if (command instanceof JobCommand.CommitPlacement commit) {
			this.queue.add(new JobEvent.PlacementCommitted(commit.attempt()));
		}
		else if (command instanceof JobCommand.Prepare prepare) {
			this.queue.add(new JobEvent.MemberPrepared(prepare.attempt(), prepare.member()));
		}
		else if (command instanceof JobCommand.Start start) {
			if (start.member() == 0) {
				int members = spec(start.attempt()).shape().members();
				this.running.put(start.attempt(), members);
				this.tasks += members;
			}
			this.queue.add(new JobEvent.MemberStarted(start.attempt(), start.member()));
		}
		else if (command instanceof JobCommand.Suspend suspend) {
			stop(suspend.attempt(), suspend.member(), JobOutcome.SUSPENDED);
		}
		else if (command instanceof JobCommand.Stop stop) {
			stop(stop.attempt(), stop.member(), JobOutcome.STOPPED);
		}
		else if (command instanceof JobCommand.Abort abort) {
			stop(abort.attempt(), abort.member(), JobOutcome.STOPPED);
		}
	}

	private void stop(Attempt attempt, int member, JobOutcome ending) {
		forget(attempt);
		this.queue.add(new JobEvent.MemberEnded(attempt, member, ending));
	}

	private void forget(Attempt attempt) {
		Integer members = this.running.remove(attempt);
		if (members != null) {
			this.tasks -= members;
		}
	}

	private JobSpec spec(Attempt attempt) {
		return this.scheduler.job(attempt.job()).orElseThrow().spec();
	}

	private void submit(JobSpec spec) {
		JobId job = new JobId("steady-" + this.submitted++);
		this.queue.add(new JobEvent.JobSubmitted(job, spec));
	}

	private JobSpec randomSpec() {
		List<PlannedJob> jobs = this.workload.jobs();
		return jobs.get(this.random.nextInt(jobs.size())).spec();
	}

	private CustomerId customer() {
		return new ArrayList<>(this.workload.configuration().customers().keySet()).get(0);
	}

	private void endOldest() {
		Iterator<Map.Entry<Attempt, Integer>> oldest = this.running.entrySet().iterator();
		if (!oldest.hasNext()) {
			return;
		}
		Map.Entry<Attempt, Integer> gang = oldest.next();
		forget(gang.getKey());
		for (int member = 0; member < gang.getValue(); member++) {
			this.queue.add(new JobEvent.MemberEnded(gang.getKey(), member, JobOutcome.SUCCEEDED));
		}
	}

	private JobEvent report() {
		Iterator<Map.Entry<Attempt, Integer>> oldest = this.running.entrySet().iterator();
		if (!oldest.hasNext()) {
			return new JobEvent.Tick();
		}
		Map.Entry<Attempt, Integer> gang = oldest.next();
		int member = this.random.nextInt(gang.getValue());
		return new JobEvent.MemberCheckpointed(gang.getKey(), member);
	}

}
