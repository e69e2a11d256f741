package org.almondmount.bench.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.jobs.JobView;
import org.almondmount.jobs.WorkerView;
import org.almondmount.model.Configuration;
import org.almondmount.model.JobId;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.WorkerId;
import org.almondmount.plan.Intent;
import org.almondmount.plan.PlanEffects;

/**
 * A plain scheduler: one queue in the order of submission, no guarantees, no fairness, no
 * preemption, no view of bad workers. Work in a zone that goes out is suspended and waits
 * again at the tail. Not thread-safe.
 */
public final class BaselineScheduler implements JobScheduler {

	private static final int MOST_FAILURES = 5;

	private static final int BACKFILL_DEPTH = 200;

	private final Baseline kind;

	private final Fleet fleet = new Fleet();

	private final Map<JobId, BaselineJob> jobs = new LinkedHashMap<>();

	private final Set<BaselineJob> waiting = new LinkedHashSet<>();

	private final Map<JobId, BaselineJob> running = new HashMap<>();

	private Configuration configuration = Configuration.EMPTY;

	private boolean changed;

	public BaselineScheduler(Baseline kind) {
		this.kind = kind;
	}

	@Override
	public List<JobCommand> handle(long now, JobEvent event) {
		List<JobCommand> commands = new ArrayList<>();
		take(now, event, commands);
		if (this.changed) {
			this.changed = false;
			placeWaiting(now, commands);
		}
		return commands;
	}

	@Override
	public PlanEffects preview(long nowMillis, Intent intent) {
		return new PlanEffects(Optional.empty(), List.of(), List.of(), List.of(), List.of());
	}

	@Override
	public Optional<JobView> job(JobId job) {
		return Optional.empty();
	}

	@Override
	public List<JobView> jobs() {
		return List.of();
	}

	@Override
	public List<WorkerView> workers() {
		return List.of();
	}

	@Override
	public List<String> explain(JobId job) {
		return List.of();
	}

	private void take(long now, JobEvent event, List<JobCommand> commands) {
		if (event instanceof JobEvent.ConfigurationChanged change) {
			configure(change.configuration(), commands);
		}
		else if (event instanceof JobEvent.WorkerJoined joined) {
			this.fleet.join(joined.worker(), this.configuration);
			this.changed = true;
		}
		else if (event instanceof JobEvent.WorkerLost lost) {
			lose(lost.worker(), commands);
		}
		else if (event instanceof JobEvent.JobSubmitted submitted) {
			submit(submitted, commands);
		}
		else if (event instanceof JobEvent.JobCancelled cancelled) {
			cancel(this.jobs.get(cancelled.job()), commands);
		}
		else if (event instanceof JobEvent.PlacementCommitted committed) {
			current(committed.attempt()).ifPresent((job) -> prepare(job, commands));
		}
		else if (event instanceof JobEvent.PlacementRejected rejected) {
			current(rejected.attempt()).ifPresent((job) -> releaseAll(job, "rejected", commands));
		}
		else if (event instanceof JobEvent.MemberPrepared prepared) {
			current(prepared.attempt()).ifPresent((job) -> prepared(job, prepared.member(), commands));
		}
		else if (event instanceof JobEvent.MemberRefused refused) {
			current(refused.attempt())
				.ifPresent((job) -> memberOver(job, refused.member(), JobOutcome.STOPPED, commands));
		}
		else if (event instanceof JobEvent.MemberEnded ended) {
			current(ended.attempt()).ifPresent((job) -> memberOver(job, ended.member(), ended.outcome(), commands));
		}
		else if (event instanceof JobEvent.MemberCheckpointed checkpointed) {
			current(checkpointed.attempt()).ifPresent((job) -> job.checkpoint = true);
		}
	}

	private Optional<BaselineJob> current(Attempt attempt) {
		BaselineJob job = this.running.get(attempt.job());
		boolean isCurrent = job != null && job.attempt.equals(attempt);
		return isCurrent ? Optional.of(job) : Optional.empty();
	}

	private void configure(Configuration next, List<JobCommand> commands) {
		this.configuration = next;
		this.fleet.configure(next);
		this.changed = true;
		for (BaselineJob job : new ArrayList<>(this.running.values())) {
			boolean out = job.placement.stream().anyMatch((member) -> !this.fleet.inService(member.worker()));
			if (out && !job.stopping) {
				stopMembers(job, true, commands);
			}
		}
	}

	private void submit(JobEvent.JobSubmitted submitted, List<JobCommand> commands) {
		BaselineJob job = new BaselineJob(submitted.job(), submitted.spec());
		if (!this.fleet.couldEverFit(job.spec.shape())) {
			commands.add(new JobCommand.Refuse(job.id,
					Refusal.notRun(RefusalReason.NEVER_FITS, "the gang fits no part of the fleet")));
			return;
		}
		this.jobs.put(job.id, job);
		this.waiting.add(job);
		commands.add(new JobCommand.Accept(job.id, job.spec));
		this.changed = true;
	}

	private void cancel(BaselineJob job, List<JobCommand> commands) {
		if (job == null || job.cancelled) {
			return;
		}
		job.cancelled = true;
		if (this.waiting.remove(job)) {
			finish(job, JobOutcome.CANCELLED, commands);
		}
		else if (!job.stopping) {
			stopMembers(job, false, commands);
		}
	}

	private void lose(WorkerId worker, List<JobCommand> commands) {
		this.fleet.lose(worker);
		for (BaselineJob job : new ArrayList<>(this.running.values())) {
			for (Assignment member : job.placement) {
				if (member.worker().equals(worker) && !job.gone.contains(member.member())) {
					memberOver(job, member.member(), JobOutcome.UNKNOWN, commands);
				}
			}
		}
	}

	private void prepare(BaselineJob job, List<JobCommand> commands) {
		if (job.stopping) {
			return;
		}
		for (Assignment member : job.placement) {
			commands
				.add(new JobCommand.Prepare(job.attempt, member.member(), member.worker(), job.spec, job.checkpoint));
		}
	}

	private void prepared(BaselineJob job, int member, List<JobCommand> commands) {
		job.held.add(member);
		if (job.stopping || job.held.size() < job.placement.size()) {
			return;
		}
		job.started = true;
		for (Assignment each : job.placement) {
			commands.add(new JobCommand.Start(job.attempt, each.member(), each.worker()));
		}
	}

	private void memberOver(BaselineJob job, int member, JobOutcome ending, List<JobCommand> commands) {
		if (!job.gone.add(member)) {
			return;
		}
		this.fleet.give(job.placement.get(member).worker(), job.spec.shape().perMember());
		this.changed = true;
		job.succeeded &= ending == JobOutcome.SUCCEEDED;
		job.failed |= ending == JobOutcome.FAILED || ending == JobOutcome.WORKER_FAILED;
		if (ending != JobOutcome.SUCCEEDED && !job.stopping) {
			stopMembers(job, false, commands);
		}
		if (job.gone.size() == job.placement.size()) {
			attemptOver(job, commands);
		}
	}

	private void attemptOver(BaselineJob job, List<JobCommand> commands) {
		this.running.remove(job.id);
		job.failures += job.failed ? 1 : 0;
		if (job.succeeded) {
			finish(job, JobOutcome.SUCCEEDED, commands);
		}
		else if (job.cancelled) {
			finish(job, JobOutcome.CANCELLED, commands);
		}
		else if (job.failures >= MOST_FAILURES) {
			finish(job, JobOutcome.FAILED, commands);
		}
		else if (job.started && !job.spec.repeatable() && !job.checkpoint) {
			finish(job, JobOutcome.UNKNOWN, commands);
		}
		else {
			commands.add(new JobCommand.Requeue(job.attempt, "the attempt is over"));
			this.waiting.add(job);
		}
	}

	private void releaseAll(BaselineJob job, String why, List<JobCommand> commands) {
		for (Assignment member : job.placement) {
			this.fleet.give(member.worker(), job.spec.shape().perMember());
		}
		this.running.remove(job.id);
		this.changed = true;
		commands.add(new JobCommand.Requeue(job.attempt, why));
		this.waiting.add(job);
	}

	private void stopMembers(BaselineJob job, boolean checkpoint, List<JobCommand> commands) {
		job.stopping = true;
		for (Assignment member : job.placement) {
			if (job.gone.contains(member.member())) {
				continue;
			}
			commands.add(checkpoint ? new JobCommand.Suspend(job.attempt, member.member(), member.worker())
					: new JobCommand.Stop(job.attempt, member.member(), member.worker()));
		}
	}

	private void finish(BaselineJob job, JobOutcome ending, List<JobCommand> commands) {
		int lastAttempt = (job.attempt != null) ? job.attempt.number() : 0;
		commands.add(new JobCommand.Finish(job.id, lastAttempt, ending, ending.name()));
		this.jobs.remove(job.id);
	}

	private void placeWaiting(long now, List<JobCommand> commands) {
		Set<BaselineJob> blocked = new HashSet<>();
		long reservedFrom = Long.MAX_VALUE;
		int tried = 0;
		for (Iterator<BaselineJob> each = this.waiting.iterator(); each.hasNext() && tried < BACKFILL_DEPTH; tried++) {
			BaselineJob job = each.next();
			boolean mayRun = blocked.isEmpty() || now + job.spec.declaredRunTime().toMillis() <= reservedFrom;
			if (mayRun && place(now, job, commands)) {
				each.remove();
				continue;
			}
			if (!this.kind.backfills()) {
				return;
			}
			if (blocked.isEmpty()) {
				blocked.add(job);
				reservedFrom = this.fleet.earliestFit(now, job.spec.shape(), this.running.values());
			}
		}
	}

	private boolean place(long now, BaselineJob job, List<JobCommand> commands) {
		List<Assignment> placement = this.fleet.place(job.spec.shape(), this.kind);
		if (placement.isEmpty()) {
			return false;
		}
		job.begin(placement, now);
		this.running.put(job.id, job);
		commands.add(new JobCommand.CommitPlacement(job.attempt, job.spec, placement));
		return true;
	}

}
