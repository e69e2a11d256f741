package org.almondmount.bench.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.almondmount.bench.workload.FleetChange;
import org.almondmount.bench.workload.PlannedJob;
import org.almondmount.bench.workload.Workload;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.model.Configuration;
import org.almondmount.model.JobId;
import org.almondmount.model.WorkerInfo;

/**
 * Replays a workload against a scheduler under a virtual clock. The time that the
 * scheduler itself takes is measured but does not move the clock. The same workload,
 * scheduler and seed give the same record. One use; not thread-safe.
 */
public final class JobReplay {

	private static final long TICK = 1_000;

	private static final long LONGEST_DECISION_NANOS = 60_000_000_000L;

	private final Workload workload;

	private final JobScheduler scheduler;

	private final ReplayObserver observer;

	private final Agenda agenda = new Agenda();

	private final Map<JobId, JobProgress> jobs = new HashMap<>();

	private final List<JobRecord> records = new ArrayList<>();

	private final Histogram decisionNanos = new Histogram(LONGEST_DECISION_NANOS, 3);

	private final WorkerSide workers;

	private Configuration configuration;

	private int open;

	private long nextWake = Long.MAX_VALUE;

	public JobReplay(Workload workload, JobScheduler scheduler, ReplayObserver observer, long seed) {
		this.workload = workload;
		this.scheduler = scheduler;
		this.observer = observer;
		this.configuration = workload.configuration();
		this.workers = new WorkerSide(workload.workers(), this.agenda, new Delays(seed), this::tell, observer);
	}

	/**
	 * Runs until every job has its ending, or to the workload's horizon.
	 * @return what happened
	 */
	public ReplayRecord run() {
		tell(new JobEvent.ConfigurationChanged(this.configuration));
		for (WorkerInfo worker : this.workload.workers()) {
			tell(new JobEvent.WorkerJoined(worker));
		}
		tell(new JobEvent.StartsAllowed(true));
		this.workload.jobs().forEach(this::plan);
		this.workload.changes().forEach((change) -> this.agenda.at(change.at(), () -> apply(change)));
		this.agenda.after(TICK, this::tick);
		long lastChange = this.workload.changes().stream().mapToLong(FleetChange::at).max().orElse(0);
		while (this.open > 0 || this.agenda.now() < lastChange) {
			if (!this.agenda.runNext() || this.agenda.now() >= this.workload.horizonMillis()) {
				break;
			}
		}
		return new ReplayRecord(this.workload, this.records, this.workload.changes(), this.agenda.now(),
				List.copyOf(this.observer.violations()), this.decisionNanos);
	}

	private void plan(PlannedJob job) {
		this.open++;
		this.agenda.at(job.submitAt(), () -> submit(job));
		if (job.cancelAt() != PlannedJob.NEVER) {
			this.agenda.at(job.cancelAt(), () -> cancel(job.id()));
		}
	}

	private void submit(PlannedJob job) {
		JobProgress progress = new JobProgress(job);
		this.jobs.put(job.id(), progress);
		this.records.add(progress.record());
		tell(new JobEvent.JobSubmitted(job.id(), job.spec()));
	}

	private void cancel(JobId job) {
		if (this.jobs.get(job).record().endedAt() == AttemptRecord.UNSET) {
			tell(new JobEvent.JobCancelled(job));
		}
	}

	private void tick() {
		tell(new JobEvent.Tick());
		this.agenda.after(TICK, this::tick);
	}

	private void apply(FleetChange change) {
		if (change instanceof FleetChange.ZoneSet set) {
			this.configuration = this.configuration.withZone(set.zone(), set.state())
				.withRevision(this.configuration.revision() + 1);
			tell(new JobEvent.ConfigurationChanged(this.configuration));
		}
		else if (change instanceof FleetChange.WorkerLoss loss) {
			this.workers.lose(loss.worker());
			this.agenda.at(loss.backAt(), () -> this.workers.comeBack(loss.worker()));
		}
		else if (change instanceof FleetChange.BadWorker bad) {
			this.workers.bad(bad.worker(), true);
			this.agenda.at(bad.until(), () -> this.workers.bad(bad.worker(), false));
		}
	}

	private void tell(JobEvent event) {
		this.observer.event(this.agenda.now(), event);
		long began = System.nanoTime();
		List<JobCommand> commands = this.scheduler.handle(this.agenda.now(), event);
		this.decisionNanos.recordValue(Math.min(LONGEST_DECISION_NANOS, System.nanoTime() - began));
		for (JobCommand command : commands) {
			this.observer.command(this.agenda.now(), command);
			carryOut(command);
		}
	}

	private void carryOut(JobCommand command) {
		if (command instanceof JobCommand.CommitPlacement commit) {
			this.workers.commit(this.jobs.get(commit.attempt().job()), commit);
		}
		else if (command instanceof JobCommand.Refuse refuse) {
			this.jobs.get(refuse.job()).record().refuse(this.agenda.now());
			this.open--;
		}
		else if (command instanceof JobCommand.Finish finish) {
			finish(finish);
		}
		else if (command instanceof JobCommand.Requeue requeue) {
			this.workers.over(requeue.attempt());
		}
		else if (command instanceof JobCommand.WakeAt wake) {
			wakeAt(wake.atMillis());
		}
		else {
			this.workers.carryOut(command);
		}
	}

	private void finish(JobCommand.Finish finish) {
		JobRecord record = this.jobs.get(finish.job()).record();
		if (record.endedAt() == AttemptRecord.UNSET) {
			record.end(this.agenda.now(), finish.outcome());
			this.open--;
		}
	}

	private void wakeAt(long time) {
		if (time >= this.nextWake) {
			return;
		}
		this.nextWake = time;
		this.agenda.at(time, () -> wake(time));
	}

	private void wake(long time) {
		if (this.nextWake == time) {
			this.nextWake = Long.MAX_VALUE;
		}
		tell(new JobEvent.Tick());
	}

}
