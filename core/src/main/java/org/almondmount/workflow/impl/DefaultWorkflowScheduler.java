package org.almondmount.workflow.impl;

import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowEvent;
import org.almondmount.workflow.WorkflowScheduler;

/**
 * The decisions of the holder of the scheduler's term. Deterministic; not thread-safe.
 */
public final class DefaultWorkflowScheduler implements WorkflowScheduler {

	private final SchedulerState state;

	private final RunLedger ledger;

	private final WorkerReports reports;

	private final PlacementRound round;

	private final EndedJobs endedJobs;

	private final SavedWork savedWork;

	public DefaultWorkflowScheduler(SchedulerPolicy policy) {
		this.state = new SchedulerState(policy);
		this.ledger = new RunLedger(this.state);
		this.reports = new WorkerReports(this.state, this.ledger);
		this.round = new PlacementRound(this.state, this.ledger);
		this.endedJobs = new EndedJobs(this.state);
		this.savedWork = new SavedWork(this.state);
	}

	@Override
	public List<WorkflowCommand> handle(ClockReading now, WorkflowEvent event) {
		this.state.now(now);
		if (!declared(event) && !term(event) && this.state.epoch() != 0) {
			decide(event);
		}
		if (this.state.epoch() != 0 && completesBatch(event)) {
			this.state.writeAhead().flush(this.state.commands());
		}
		return this.state.takeCommands();
	}

	@Override
	public Optional<JobPhase> phase(String job) {
		return Optional.ofNullable(this.state.jobs().get(job)).map(JobState::keptPhase);
	}

	@Override
	public Optional<String> failureMessage(String job) {
		return Optional.ofNullable(this.state.jobs().get(job))
			.filter((known) -> known.keptPhase() == JobPhase.FAILED)
			.flatMap((known) -> known.toRecord().failureMessage());
	}

	@Override
	public int queuedJobCount(String queue) {
		int waiting = 0;
		for (JobState job : this.state.jobs().values()) {
			if (job.phase() == JobPhase.QUEUED && job.workflow().queue().equals(queue)) {
				waiting++;
			}
		}
		return waiting;
	}

	// What changed since the last round and what the round chose go into one transaction;
	// a round may rest for a while, and callers wait for what changed.
	private static boolean completesBatch(WorkflowEvent event) {
		return event instanceof WorkflowEvent.PlacementDue || event instanceof WorkflowEvent.Tick;
	}

	private boolean declared(WorkflowEvent event) {
		if (event instanceof WorkflowEvent.ConfigurationChanged changed) {
			this.state.configuration(changed.configuration());
			this.ledger.failUsedUp();
			return true;
		}
		if (event instanceof WorkflowEvent.ZonesOutChanged changed) {
			this.state.zonesOut(changed.zones());
			return true;
		}
		return false;
	}

	private boolean term(WorkflowEvent event) {
		if (event instanceof WorkflowEvent.TermBegan began) {
			this.round.clear();
			this.endedJobs.clear();
			this.state.beginTerm(began.epoch());
			began.jobs().forEach(this::restore);
			this.ledger.failUsedUp();
			return true;
		}
		if (event instanceof WorkflowEvent.TermEnded) {
			this.round.clear();
			this.state.endTerm();
			return true;
		}
		return false;
	}

	private void decide(WorkflowEvent event) {
		if (event instanceof WorkflowEvent.JobAccepted accepted) {
			accept(accepted.job());
		}
		else if (event instanceof WorkflowEvent.CancelRequested cancel) {
			cancel(cancel.job());
		}
		else if (event instanceof WorkflowEvent.WorkerReported reported) {
			this.reports.read(reported.report());
		}
		else if (event instanceof WorkflowEvent.WorkerHeartbeat heard) {
			this.reports.heard(heard.target());
		}
		else if (event instanceof WorkflowEvent.RunRefused refused) {
			this.reports.refused(refused.target(), refused.task(), refused.run(), refused.reason());
		}
		else if (event instanceof WorkflowEvent.Persisted kept) {
			this.state.writeAhead().kept(kept.sequence());
		}
		else if (event instanceof WorkflowEvent.PlacementDue) {
			this.round.run();
		}
		else if (event instanceof WorkflowEvent.Tick) {
			this.reports.timePassed();
			this.endedJobs.timePassed();
			this.savedWork.timePassed();
		}
		else if (event instanceof WorkflowEvent.JobsDeleted forgotten) {
			this.endedJobs.forgotten(forgotten.jobs());
		}
	}

	private void accept(Workflow job) {
		if (this.state.jobs().containsKey(job.id())) {
			return;
		}
		this.state.jobs().put(job.id(), new JobState(job));
		this.state.explain("job-known", "job", job.id(), "queue", job.queue(), "customer", job.customer());
	}

	private void cancel(String id) {
		JobState job = this.state.jobs().get(id);
		if (job == null) {
			return;
		}
		if (!job.over()) {
			job.phase(JobPhase.CANCELLED);
			this.state.writeAhead().changed(job);
			job.openRuns().forEach((run) -> this.ledger.stop(run, WorkOutcome.CANCELLED));
			this.state.explain("job-cancelled", "job", id, "openRuns", job.openRuns().size());
		}
		this.state.writeAhead().afterKept(() -> this.state.emit(new WorkflowCommand.CancellationPersisted(id)));
	}

	private void restore(WorkflowEvent.StoredJob kept) {
		JobState job = new JobState(kept.job());
		this.state.jobs().put(job.id(), job);
		kept.progress().ifPresent((progress) -> restore(job, progress));
		int openRuns = job.openRuns().size();
		if (openRuns > 0) {
			this.state.explain("job-inherited", "job", job.id(), "phase", job.phase(), "openRuns", openRuns);
		}
		if (kept.cancelled()) {
			cancel(job.id());
		}
	}

	private void restore(JobState job, JobRecord progress) {
		job.restore(progress);
		for (TaskRecord task : progress.tasks()) {
			StepState step = job.step(task.step().occurrence(), task.step().step());
			if (step == null || task.index() >= step.tasks().size()) {
				continue;
			}
			for (OpenRun open : task.openRuns()) {
				inherit(step.tasks().get(task.index()), open);
			}
		}
		this.ledger.stopObsolete(job);
	}

	// Runs of earlier terms may name several lives of one worker. They are all taken to
	// the latest one, where each is found, or stopped for certain.
	private void inherit(TaskState task, OpenRun open) {
		Worker worker = this.state.worker(open.target(), open.incarnation());
		if (worker.life().startedAtMillis() < open.incarnation().startedAtMillis()) {
			this.state.workers().remove(open.target());
			Worker later = this.state.worker(open.target(), open.incarnation());
			List.copyOf(worker.runs()).forEach((run) -> run.moveTo(later));
			worker = later;
		}
		Run run = Run.inherited(task, open, worker);
		task.openRuns().add(run);
		worker.add(run);
		this.ledger.watch(run);
	}

}
