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
import org.almondmount.jobs.Ending;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobFeature;
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
 * The job scheduler: passes each event to the part that it concerns, then has waiting
 * jobs placed. Not thread-safe.
 */
public final class DefaultJobScheduler implements JobScheduler {

	private final Desk desk;

	private final Fleet fleet = new Fleet();

	private final WaitingJobs waiting = new WaitingJobs();

	private final JobBook book;

	private final GuaranteeAllocator ledger;

	private final GangRunner runner;

	private final Admission admission;

	private final ZoneDrain zones;

	private final Recovery recovery;

	private final Dispatcher dispatcher;

	private final Relief relief;

	private final PlanPreview preview;

	private final Explainer explainer;

	private final UsageGuard usage;

	private final Map<Class<?>, Consumer<JobEvent>> handlers = new HashMap<>();

	private long wakeAt = Long.MAX_VALUE;

	public DefaultJobScheduler(JobPolicy policy) {
		this.desk = new Desk(policy);
		this.book = new JobBook(this.desk, this.waiting);
		GangPlacer placer = new GangPlacer(this.fleet, policy.has(JobFeature.PACKING));
		this.ledger = new GuaranteeAllocator(this.desk, this.fleet, placer);
		RunTimes runTimes = new RunTimes(policy.has(JobFeature.LEARNED_RUN_TIMES));
		Health health = new Health(this.desk, this.fleet, this.ledger);
		this.runner = new GangRunner(this.desk, this.fleet, this.book, this.waiting, this.ledger, health, runTimes);
		this.admission = new Admission(this.desk, this.fleet, this.waiting);
		this.zones = new ZoneDrain(this.desk, this.fleet, this.runner, this.ledger);
		this.recovery = new Recovery(this.desk, this.fleet, this.book, this.runner, this.ledger);
		WaitingJobReservations reservations = new WaitingJobReservations(this.desk, this.fleet, runTimes);
		Evictor evictor = new Evictor(this.desk, this.fleet);
		GuaranteedJobStarter guaranteed = new GuaranteedJobStarter(this.desk, this.fleet, placer, this.ledger, evictor,
				this.runner);
		this.dispatcher = new Dispatcher(this.desk, this.fleet, this.waiting, this.runner, placer, this.ledger,
				guaranteed, reservations);
		this.relief = new Relief(this.desk, this.fleet, this.waiting, placer, evictor, this.runner, this.dispatcher,
				this.ledger, guaranteed, reservations);
		this.preview = new PlanPreview(this.desk, this.fleet, this.book, this.ledger, evictor, placer);
		this.explainer = new Explainer(this.desk, this.fleet, this.ledger, reservations);
		this.usage = new UsageGuard(this.desk, this.runner);
		on(JobEvent.ConfigurationChanged.class, (event) -> configure(event.configuration()));
		on(JobEvent.WorkerJoined.class, (event) -> joined(event.worker()));
		on(JobEvent.WorkerLeaving.class, (event) -> leaving(event.worker()));
		on(JobEvent.WorkerLost.class, (event) -> lost(event.worker()));
		on(JobEvent.JobSubmitted.class, this::submitted);
		on(JobEvent.JobRecovered.class, this.recovery::recovered);
		on(JobEvent.JobCancelled.class, (event) -> cancelled(event.job()));
		on(JobEvent.PlacementCommitted.class, (event) -> committed(event.attempt()));
		on(JobEvent.PlacementRejected.class, (event) -> rejected(event.attempt()));
		on(JobEvent.StartsAllowed.class, (event) -> startsAllowed(event.allowed()));
		onMember();
	}

	@Override
	public List<JobCommand> handle(long nowMillis, JobEvent event) {
		this.desk.now = Math.max(nowMillis, this.desk.now);
		this.desk.timers.runDue(this.desk.now);
		Consumer<JobEvent> handler = this.handlers.get(event.getClass());
		if (handler != null) {
			handler.accept(event);
		}
		this.dispatcher.run();
		this.relief.keepPace();
		wake();
		return this.desk.takeCommands();
	}

	@Override
	public PlanEffects preview(long nowMillis, Intent intent) {
		this.desk.now = Math.max(nowMillis, this.desk.now);
		return this.preview.preview(intent);
	}

	@Override
	public Optional<JobView> job(JobId job) {
		return Optional.ofNullable(this.book.job(job)).map(this::view);
	}

	@Override
	public List<JobView> jobs() {
		List<JobView> views = new ArrayList<>();
		for (JobState job : this.book.jobs()) {
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
		JobState job = this.book.job(id);
		return (job != null) ? List.copyOf(this.explainer.explain(job)) : List.of();
	}

	GuaranteeAllocator ledger() {
		return this.ledger;
	}

	private <E extends JobEvent> void on(Class<E> type, Consumer<E> handler) {
		this.handlers.put(type, (event) -> handler.accept(type.cast(event)));
	}

	private void onMember() {
		on(JobEvent.MemberPrepared.class,
				(event) -> withMember(event.attempt(), event.member(), this.runner::prepared));
		on(JobEvent.MemberRefused.class, (event) -> withMember(event.attempt(), event.member(),
				(member) -> this.runner.refused(member, event.why())));
		on(JobEvent.MemberStarted.class, (event) -> withMember(event.attempt(), event.member(), this.runner::started));
		on(JobEvent.MemberCheckpointed.class,
				(event) -> withMember(event.attempt(), event.member(), this.runner::checkpointed));
		on(JobEvent.MemberUsage.class, (event) -> withMember(event.attempt(), event.member(),
				(member) -> this.usage.reported(member, event.used())));
		on(JobEvent.MemberEnded.class, (event) -> withMember(event.attempt(), event.member(),
				(member) -> this.runner.ended(member, event.ending())));
	}

	/**
	 * Reports of attempts that are neither current nor still booked are ignored.
	 * @param attempt the attempt
	 * @param index the member's number
	 * @param action what to do with it
	 */
	private void withMember(Attempt attempt, int index, Consumer<Member> action) {
		JobState job = this.book.job(attempt.job());
		Gang gang = (job != null) ? job.gang(attempt.number()) : null;
		if (gang != null && index >= 0 && index < gang.members.length && gang.members[index].ending == null) {
			action.accept(gang.members[index]);
		}
	}

	private void configure(Configuration configuration) {
		if (configuration.revision() < this.desk.configuration.revision()) {
			return;
		}
		Set<CustomerId> removed = new TreeSet<>(this.desk.configuration.customers().keySet());
		removed.removeAll(configuration.customers().keySet());
		this.desk.configuration = configuration;
		this.waiting.configure(configuration);
		this.zones.configure(configuration);
		this.ledger.configure(configuration);
		cancelJobsOf(removed);
	}

	private void cancelJobsOf(Set<CustomerId> removed) {
		if (removed.isEmpty()) {
			return;
		}
		for (JobState job : new ArrayList<>(this.book.jobs())) {
			if (removed.contains(job.spec.customer())) {
				cancel(job, "customer " + job.spec.customer() + " was removed");
			}
		}
	}

	private void joined(WorkerInfo info) {
		WorkerNode worker = this.fleet.join(info);
		this.ledger.onWorkerAvailable(worker);
		this.recovery.joined(worker);
		this.ledger.unplaceExcess(worker);
	}

	private void leaving(WorkerId id) {
		WorkerNode worker = this.fleet.worker(id);
		if (worker == null || !worker.present) {
			return;
		}
		this.fleet.markLeaving(worker);
		this.zones.drainWorker(worker);
	}

	private void lost(WorkerId id) {
		WorkerNode worker = this.fleet.worker(id);
		if (worker == null || !worker.present) {
			return;
		}
		this.fleet.markLost(worker);
		this.ledger.onWorkerUnavailable(worker);
		for (Member member : new ArrayList<>(worker.members)) {
			if (member.booked) {
				this.runner.lost(member);
			}
		}
	}

	private void submitted(JobEvent.JobSubmitted event) {
		if (this.book.job(event.job()) != null) {
			return;
		}
		Optional<Refusal> refusal = this.admission.refusal(event.spec());
		if (refusal.isPresent()) {
			this.desk.send(new JobCommand.Refuse(event.job(), refusal.get()));
			return;
		}
		JobState job = this.book.add(event.job(), event.spec());
		job.say("It was accepted and waits for a place.");
		this.desk.send(new JobCommand.Accept(job.id, job.spec));
		this.book.enqueue(job);
	}

	private void cancelled(JobId id) {
		JobState job = this.book.job(id);
		if (job != null) {
			cancel(job, "it was cancelled");
		}
	}

	private void cancel(JobState job, String why) {
		if (job.ending != null) {
			return;
		}
		if (job.current != null) {
			this.runner.abandon(job.current);
		}
		this.book.finish(job, Ending.CANCELLED, why);
	}

	private void committed(Attempt attempt) {
		Gang gang = current(attempt);
		if (gang != null) {
			this.runner.committed(gang);
		}
	}

	private void rejected(Attempt attempt) {
		Gang gang = current(attempt);
		if (gang != null && gang.stage == Gang.Stage.COMMITTING) {
			this.runner.giveUp(gang, "the table did not take the placement", true);
		}
	}

	private Gang current(Attempt attempt) {
		JobState job = this.book.job(attempt.job());
		if (job == null || job.current == null || job.current.attempt.number() != attempt.number()) {
			return null;
		}
		return job.current;
	}

	private void startsAllowed(boolean allowed) {
		this.desk.startsAllowed = allowed;
		if (allowed) {
			this.runner.resume();
		}
	}

	private void wake() {
		long next = this.desk.timers.next();
		if (next == Long.MAX_VALUE || (next >= this.wakeAt && this.wakeAt > this.desk.now)) {
			return;
		}
		this.wakeAt = next;
		this.desk.send(new JobCommand.WakeAt(next));
	}

	private JobView view(JobState job) {
		List<String> sentences = job.sentences();
		return job.view(sentences.isEmpty() ? "" : sentences.get(sentences.size() - 1));
	}

}
