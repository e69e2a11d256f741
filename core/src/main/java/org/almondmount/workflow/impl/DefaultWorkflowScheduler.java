package org.almondmount.workflow.impl;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.QueueDeclaration;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowEvent;
import org.almondmount.workflow.WorkflowScheduler;

/**
 * Makes the scheduling decisions of the holder of the scheduler's term. Deterministic;
 * not thread-safe.
 */
public final class DefaultWorkflowScheduler implements WorkflowScheduler {

	private final SchedulerState state;

	private final RunLifecycle runLifecycle;

	private final WorkerReportHandler reportHandler;

	private final PlacementRound placementRound;

	private final EndedJobCleanup endedJobCleanup;

	private final CheckpointPersister checkpointPersister;

	private final QueueDeclarations queueDeclarations;

	private final OutlivedQueues outlivedQueues;

	public DefaultWorkflowScheduler(SchedulerPolicy policy) {
		this.state = new SchedulerState(policy);
		this.runLifecycle = new RunLifecycle(this.state);
		this.reportHandler = new WorkerReportHandler(this.state, this.runLifecycle);
		this.placementRound = new PlacementRound(this.state, this.runLifecycle);
		this.endedJobCleanup = new EndedJobCleanup(this.state);
		this.checkpointPersister = new CheckpointPersister(this.state);
		this.queueDeclarations = new QueueDeclarations(this.state);
		this.outlivedQueues = new OutlivedQueues(this.state);
	}

	@Override
	public List<WorkflowCommand> handle(ClockReading now, WorkflowEvent event) {
		this.state.now(now);
		if (!handleConfiguration(event) && !handleTerm(event) && this.state.epoch() != 0) {
			handleInTerm(event);
		}
		if (this.state.epoch() != 0 && completesBatch(event)) {
			this.state.writeAheadBuffer().flush(this.state.commands());
		}
		return this.state.takeCommands();
	}

	@Override
	public Optional<JobPhase> phase(String job) {
		return Optional.ofNullable(this.state.jobs().get(job)).map(JobState::persistedPhase);
	}

	@Override
	public Optional<String> failureMessage(String job) {
		return Optional.ofNullable(this.state.jobs().get(job))
			.filter((known) -> known.persistedPhase() == JobPhase.FAILED)
			.flatMap((known) -> known.toRecord().failureMessage());
	}

	@Override
	public int queuedJobCount(String queue) {
		int waiting = 0;
		for (JobState job : this.state.jobs().values()) {
			if (job.phase() == JobPhase.QUEUED && isReachedThrough(queue, job)) {
				waiting++;
			}
		}
		return waiting;
	}

	// Callers know the path of a queue and not its name. Jobs whose queue was removed
	// belong to the queue that is declared at the path under which they were accepted.
	private boolean isReachedThrough(String queue, JobState job) {
		FleetConfiguration configuration = this.state.configuration();
		String ownQueue = job.workflow().queue();
		if (ownQueue.equals(queue) || configuration.queue(ownQueue).isPresent()) {
			return ownQueue.equals(queue);
		}
		return job.declaration()
			.map(QueueDeclaration::queue)
			.flatMap((removed) -> configuration.route(removed.host(), removed.pathPrefix()))
			.filter((successor) -> successor.name().equals(queue))
			.isPresent();
	}

	// The changes since the last placement round and the decisions of the round are
	// written in one transaction. A tick completes a batch too, because the next round
	// may be delayed while callers wait for the changes.
	private static boolean completesBatch(WorkflowEvent event) {
		return event instanceof WorkflowEvent.PlacementDue || event instanceof WorkflowEvent.Tick;
	}

	private boolean handleConfiguration(WorkflowEvent event) {
		if (event instanceof WorkflowEvent.ConfigurationChanged changed) {
			changeConfiguration(changed.configuration());
			return true;
		}
		if (event instanceof WorkflowEvent.ZonesOutChanged changed) {
			this.state.zonesOut(changed.zones());
			return true;
		}
		return false;
	}

	private void changeConfiguration(FleetConfiguration next) {
		Set<SchedulerFeature> before = this.state.triggeredFeatures();
		FleetConfiguration previous = this.state.configuration();
		this.state.configuration(next);
		Set<SchedulerFeature> after = this.state.triggeredFeatures();
		if (!after.equals(before)) {
			this.state.explain("features-active", "revision", next.revision(), "features", after);
		}
		this.queueDeclarations.onConfigurationChanged(previous);
		this.outlivedQueues.update();
		this.runLifecycle.failExhaustedJobs();
	}

	private boolean handleTerm(WorkflowEvent event) {
		if (event instanceof WorkflowEvent.TermBegan began) {
			this.placementRound.clear();
			this.endedJobCleanup.clear();
			this.outlivedQueues.clear();
			this.state.beginTerm(began.epoch());
			began.jobs().forEach(this::restore);
			this.outlivedQueues.update();
			this.runLifecycle.failExhaustedJobs();
			return true;
		}
		if (event instanceof WorkflowEvent.TermEnded) {
			this.placementRound.clear();
			this.state.endTerm();
			return true;
		}
		return false;
	}

	private void handleInTerm(WorkflowEvent event) {
		if (event instanceof WorkflowEvent.JobAccepted accepted) {
			accept(accepted.job());
		}
		else if (event instanceof WorkflowEvent.CancelRequested cancel) {
			cancel(cancel.job());
		}
		else if (event instanceof WorkflowEvent.WorkerReported reported) {
			this.reportHandler.onReport(reported.report());
		}
		else if (event instanceof WorkflowEvent.WorkerHeartbeat heard) {
			this.reportHandler.onHeartbeat(heard.target());
		}
		else if (event instanceof WorkflowEvent.RunRefused refused) {
			this.reportHandler.onRefusal(refused.target(), refused.task(), refused.run(), refused.reason());
		}
		else if (event instanceof WorkflowEvent.Persisted kept) {
			this.state.writeAheadBuffer().onPersisted(kept.sequence());
		}
		else if (event instanceof WorkflowEvent.PlacementDue) {
			this.placementRound.run();
		}
		else if (event instanceof WorkflowEvent.Tick) {
			this.reportHandler.tick();
			this.endedJobCleanup.tick();
			this.checkpointPersister.tick();
		}
		else if (event instanceof WorkflowEvent.JobsDeleted forgotten) {
			this.endedJobCleanup.onRemoved(forgotten.jobs());
		}
	}

	private void accept(Workflow job) {
		if (this.state.jobs().containsKey(job.id())) {
			return;
		}
		JobState accepted = new JobState(job);
		this.state.jobs().put(job.id(), accepted);
		this.queueDeclarations.onJobKnown(accepted);
		this.state.explain("job-known", "job", job.id(), "queue", job.queue(), "customer", job.customer(),
				"declaredRevision", accepted.declaration().map(QueueDeclaration::revision).orElse(0L));
	}

	private void cancel(String id) {
		JobState job = this.state.jobs().get(id);
		if (job == null) {
			return;
		}
		if (!job.over()) {
			job.phase(JobPhase.CANCELLED);
			this.state.writeAheadBuffer().markChanged(job);
			job.openRuns().forEach((run) -> this.runLifecycle.stop(run, WorkOutcome.CANCELLED));
			this.state.explain("job-cancelled", "job", id, "openRuns", job.openRuns().size());
		}
		this.state.writeAheadBuffer()
			.afterPersisted(() -> this.state.emit(new WorkflowCommand.CancellationPersisted(id)));
	}

	private void restore(WorkflowEvent.StoredJob persisted) {
		JobState job = new JobState(persisted.job());
		this.state.jobs().put(job.id(), job);
		persisted.progress().ifPresent((progress) -> restore(job, progress));
		this.queueDeclarations.onJobKnown(job);
		int openRuns = job.openRuns().size();
		if (openRuns > 0) {
			this.state.explain("job-inherited", "job", job.id(), "phase", job.phase(), "openRuns", openRuns);
		}
		if (persisted.cancelled()) {
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
			if (task.checkpoint().isEmpty()) {
				this.runLifecycle.workerHealth().restore(step, task.failedAttempts());
			}
			for (OpenRun open : task.openRuns()) {
				inherit(step.tasks().get(task.index()), open);
			}
		}
		this.runLifecycle.stopObsolete(job);
	}

	// Runs of earlier terms may name several incarnations of one worker. All of them are
	// moved to the latest incarnation, where each is either found running or reliably
	// stopped.
	private void inherit(TaskState task, OpenRun open) {
		Worker worker = this.state.worker(open.target(), open.incarnation());
		if (worker.incarnation().startedAtMillis() < open.incarnation().startedAtMillis()) {
			this.state.workers().remove(open.target());
			Worker later = this.state.worker(open.target(), open.incarnation());
			List.copyOf(worker.runs()).forEach((run) -> run.moveTo(later));
			worker = later;
		}
		Run run = Run.inherited(task, open, worker);
		task.openRuns().add(run);
		worker.add(run);
		this.runLifecycle.beginProbationIfSuspect(run);
	}

}
