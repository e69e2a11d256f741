package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobFeature;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobPolicy;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.jobs.JobView;
import org.almondmount.jobs.WorkerView;
import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.JobId;
import org.almondmount.model.Refusal;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.plan.Intent;
import org.almondmount.plan.PlanEffects;

/**
 * The default job scheduler: dispatches each event to the responsible part, then places
 * waiting jobs. Not thread-safe.
 */
public final class DefaultJobScheduler implements JobScheduler {

	private final SchedulerContext context;

	private final Fleet fleet = new Fleet();

	private final WaitingJobs waiting = new WaitingJobs();

	private final JobRegistry registry;

	private final GuaranteeAllocator guaranteeAllocator;

	private final GangRunner gangRunner;

	private final Admission admission;

	private final ZoneDrain zoneDrain;

	private final Recovery recovery;

	private final Dispatcher dispatcher;

	private final Rescheduler rescheduler;

	private final PlanPreview preview;

	private final Explainer explainer;

	private final UsageGuard usageGuard;

	private final Map<Class<?>, Consumer<JobEvent>> handlers = new HashMap<>();

	private long requestedWakeAt = Long.MAX_VALUE;

	public DefaultJobScheduler(JobPolicy policy) {
		this.context = new SchedulerContext(policy);
		this.registry = new JobRegistry(this.context, this.waiting);
		GangPlacer placer = new GangPlacer(this.fleet, policy.isEnabled(JobFeature.PACKING));
		this.guaranteeAllocator = new GuaranteeAllocator(this.context, this.fleet, placer);
		RunTimeEstimator runTimeEstimator = new RunTimeEstimator(policy.isEnabled(JobFeature.LEARNED_RUN_TIMES));
		WorkerHealth workerHealth = new WorkerHealth(this.context, this.fleet, this.guaranteeAllocator);
		this.gangRunner = new GangRunner(this.context, this.fleet, this.registry, this.waiting, this.guaranteeAllocator,
				workerHealth, runTimeEstimator);
		this.admission = new Admission(this.context, this.fleet, this.waiting);
		this.zoneDrain = new ZoneDrain(this.context, this.fleet, this.gangRunner, this.guaranteeAllocator);
		this.recovery = new Recovery(this.context, this.fleet, this.registry, this.gangRunner, this.guaranteeAllocator);
		WaitingJobReservations reservations = new WaitingJobReservations(this.context, this.fleet, runTimeEstimator);
		Evictor evictor = new Evictor(this.context, this.fleet);
		GuaranteedJobStarter guaranteedJobStarter = new GuaranteedJobStarter(this.context, this.fleet, placer,
				this.guaranteeAllocator, evictor, this.gangRunner);
		this.dispatcher = new Dispatcher(this.context, this.fleet, this.waiting, this.gangRunner, placer,
				this.guaranteeAllocator, guaranteedJobStarter, reservations);
		this.rescheduler = new Rescheduler(this.context, this.fleet, this.waiting, placer, evictor, this.gangRunner,
				this.dispatcher, this.guaranteeAllocator, guaranteedJobStarter, reservations);
		this.preview = new PlanPreview(this.context, this.fleet, this.registry, this.guaranteeAllocator, evictor,
				placer);
		this.explainer = new Explainer(this.context, this.fleet, this.guaranteeAllocator, reservations);
		this.usageGuard = new UsageGuard(this.context, this.gangRunner);
		addHandler(JobEvent.ConfigurationChanged.class, (event) -> onConfigurationChanged(event.configuration()));
		addHandler(JobEvent.WorkerJoined.class, (event) -> onWorkerJoined(event.worker()));
		addHandler(JobEvent.WorkerLeaving.class, (event) -> onWorkerLeaving(event.worker()));
		addHandler(JobEvent.WorkerLost.class, (event) -> onWorkerLost(event.worker()));
		addHandler(JobEvent.JobSubmitted.class, this::onJobSubmitted);
		addHandler(JobEvent.JobRecovered.class, this.recovery::onJobRecovered);
		addHandler(JobEvent.JobCancelled.class, (event) -> onJobCancelled(event.job()));
		addHandler(JobEvent.PlacementCommitted.class, (event) -> onPlacementCommitted(event.attempt()));
		addHandler(JobEvent.PlacementRejected.class, (event) -> onPlacementRejected(event.attempt()));
		addHandler(JobEvent.StartsAllowed.class, (event) -> onStartsAllowed(event.allowed()));
		addMemberHandlers();
	}

	@Override
	public List<JobCommand> handle(long nowMillis, JobEvent event) {
		this.context.now = Math.max(nowMillis, this.context.now);
		this.context.timers.runDue(this.context.now);
		Consumer<JobEvent> handler = this.handlers.get(event.getClass());
		if (handler != null) {
			handler.accept(event);
		}
		this.dispatcher.placeWaitingJobs();
		this.rescheduler.schedulePass();
		requestWakeUp();
		return this.context.takeCommands();
	}

	@Override
	public PlanEffects preview(long nowMillis, Intent intent) {
		this.context.now = Math.max(nowMillis, this.context.now);
		return this.preview.preview(intent);
	}

	@Override
	public Optional<JobView> job(JobId job) {
		return Optional.ofNullable(this.registry.job(job)).map(this::view);
	}

	@Override
	public List<JobView> jobs() {
		List<JobView> views = new ArrayList<>();
		for (JobState job : this.registry.jobs()) {
			views.add(view(job));
		}
		return views;
	}

	@Override
	public List<WorkerView> workers() {
		List<WorkerView> views = new ArrayList<>();
		for (WorkerNode worker : this.fleet.workers()) {
			if (worker.present) {
				views.add(new WorkerView(worker.info, worker.free(), worker.stateName(), worker.members.size()));
			}
		}
		return views;
	}

	@Override
	public List<String> explain(JobId id) {
		JobState job = this.registry.job(id);
		return (job != null) ? List.copyOf(this.explainer.explain(job)) : List.of();
	}

	GuaranteeAllocator guaranteeAllocator() {
		return this.guaranteeAllocator;
	}

	private <E extends JobEvent> void addHandler(Class<E> type, Consumer<E> handler) {
		this.handlers.put(type, (event) -> handler.accept(type.cast(event)));
	}

	private void addMemberHandlers() {
		addHandler(JobEvent.MemberPrepared.class,
				(event) -> withMember(event.attempt(), event.member(), this.gangRunner::onMemberPrepared));
		addHandler(JobEvent.MemberRefused.class, (event) -> withMember(event.attempt(), event.member(),
				(member) -> this.gangRunner.onMemberRefused(member, event.reason())));
		addHandler(JobEvent.MemberStarted.class,
				(event) -> withMember(event.attempt(), event.member(), this.gangRunner::onMemberStarted));
		addHandler(JobEvent.MemberCheckpointed.class,
				(event) -> withMember(event.attempt(), event.member(), this.gangRunner::onMemberCheckpointed));
		addHandler(JobEvent.MemberUsage.class, (event) -> withMember(event.attempt(), event.member(),
				(member) -> this.usageGuard.onUsageReported(member, event.used())));
		addHandler(JobEvent.MemberEnded.class, (event) -> withMember(event.attempt(), event.member(),
				(member) -> this.gangRunner.onMemberEnded(member, event.outcome())));
	}

	/**
	 * Passes the member of a reported attempt to an action. Reports of attempts that are
	 * neither current nor still allocated are ignored.
	 * @param attempt the attempt
	 * @param index the index of the member
	 * @param action the action for the member
	 */
	private void withMember(Attempt attempt, int index, Consumer<Member> action) {
		JobState job = this.registry.job(attempt.job());
		Gang gang = (job != null) ? job.gang(attempt.number()) : null;
		if (gang != null && index >= 0 && index < gang.members.length && gang.members[index].outcome == null) {
			action.accept(gang.members[index]);
		}
	}

	private void onConfigurationChanged(Configuration configuration) {
		if (configuration.revision() < this.context.configuration.revision()) {
			return;
		}
		Set<CustomerId> removed = new TreeSet<>(this.context.configuration.customers().keySet());
		removed.removeAll(configuration.customers().keySet());
		this.context.configuration = configuration;
		this.waiting.configure(configuration);
		this.zoneDrain.configure(configuration);
		this.guaranteeAllocator.configure(configuration);
		cancelJobsOf(removed);
	}

	private void cancelJobsOf(Set<CustomerId> removed) {
		if (removed.isEmpty()) {
			return;
		}
		for (JobState job : new ArrayList<>(this.registry.jobs())) {
			if (removed.contains(job.spec.customer())) {
				cancel(job, "customer " + job.spec.customer() + " was removed");
			}
		}
	}

	private void onWorkerJoined(WorkerInfo info) {
		WorkerNode worker = this.fleet.join(info);
		this.guaranteeAllocator.onWorkerAvailable(worker);
		this.recovery.onWorkerJoined(worker);
		this.guaranteeAllocator.unplaceExcess(worker);
	}

	private void onWorkerLeaving(WorkerId id) {
		WorkerNode worker = this.fleet.worker(id);
		if (worker == null || !worker.present) {
			return;
		}
		this.fleet.markLeaving(worker);
		this.zoneDrain.drainWorker(worker);
	}

	private void onWorkerLost(WorkerId id) {
		WorkerNode worker = this.fleet.worker(id);
		if (worker == null || !worker.present) {
			return;
		}
		this.fleet.markLost(worker);
		this.guaranteeAllocator.onWorkerUnavailable(worker);
		for (Member member : new ArrayList<>(worker.members)) {
			if (member.allocated) {
				this.gangRunner.onMemberLost(member);
			}
		}
	}

	private void onJobSubmitted(JobEvent.JobSubmitted event) {
		if (this.registry.job(event.job()) != null) {
			return;
		}
		Optional<Refusal> refusal = this.admission.refusal(event.spec());
		if (refusal.isPresent()) {
			this.context.send(new JobCommand.Refuse(event.job(), refusal.get()));
			return;
		}
		JobState job = this.registry.add(event.job(), event.spec());
		job.addExplanation("The job was accepted and waits for a placement.");
		this.context.send(new JobCommand.Accept(job.id, job.spec));
		this.registry.enqueue(job);
	}

	private void onJobCancelled(JobId id) {
		JobState job = this.registry.job(id);
		if (job != null) {
			cancel(job, "the job was cancelled");
		}
	}

	private void cancel(JobState job, String reason) {
		if (job.outcome != null) {
			return;
		}
		if (job.current != null) {
			this.gangRunner.abandon(job.current);
		}
		this.registry.finish(job, JobOutcome.CANCELLED, reason);
	}

	private void onPlacementCommitted(Attempt attempt) {
		Gang gang = currentGang(attempt);
		if (gang != null) {
			this.gangRunner.onPlacementCommitted(gang);
		}
	}

	private void onPlacementRejected(Attempt attempt) {
		Gang gang = currentGang(attempt);
		if (gang != null && gang.stage == Gang.Stage.COMMITTING) {
			this.gangRunner.abandonAndRequeue(gang, "the placement was not committed to the table", true);
		}
	}

	private Gang currentGang(Attempt attempt) {
		JobState job = this.registry.job(attempt.job());
		if (job == null || job.current == null || job.current.attempt.number() != attempt.number()) {
			return null;
		}
		return job.current;
	}

	private void onStartsAllowed(boolean allowed) {
		this.context.startsAllowed = allowed;
		if (allowed) {
			this.gangRunner.resumeDeferred();
		}
	}

	private void requestWakeUp() {
		long nextDueAt = this.context.timers.nextDueAt();
		if (nextDueAt == Long.MAX_VALUE
				|| (nextDueAt >= this.requestedWakeAt && this.requestedWakeAt > this.context.now)) {
			return;
		}
		this.requestedWakeAt = nextDueAt;
		this.context.send(new JobCommand.WakeAt(nextDueAt));
	}

	private JobView view(JobState job) {
		List<String> explanations = job.explanations();
		return job.view(explanations.isEmpty() ? "" : explanations.get(explanations.size() - 1));
	}

}
