package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobView;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.WorkerId;
import org.almondmount.wire.Message;

/**
 * One term as holder of the scheduler's lease, once what the former holder left has been
 * read. Owned by the control duty.
 */
final class SchedulerTerm {

	private static final int OK = 200;

	private final long epoch;

	private final JobDriver driver;

	private final JobStore store;

	private final PlanDesk plans;

	private final Answerer answerer;

	private final Map<WorkerId, Set<Attempt>> reportedOver = new HashMap<>();

	private final Set<JobRecord> waitedFor = new LinkedHashSet<>();

	private long lastJob;

	SchedulerTerm(long epoch, JobDriver driver, JobStore store, PlanDesk plans, Answerer answerer) {
		this.epoch = epoch;
		this.driver = driver;
		this.store = store;
		this.plans = plans;
		this.answerer = answerer;
	}

	long epoch() {
		return this.epoch;
	}

	JobDriver driver() {
		return this.driver;
	}

	JobStore store() {
		return this.store;
	}

	PlanDesk plans() {
		return this.plans;
	}

	JobId nextJob() {
		return new JobId("j" + this.epoch + "-" + ++this.lastJob);
	}

	/**
	 * Whether nobody waits for a write.
	 * @return true if no submission and no plan is open
	 */
	boolean isIdle() {
		return this.store.isIdle() && this.plans.isIdle();
	}

	/** The lease is lost: nothing more is decided, and those who wait are told. */
	void close() {
		this.driver.close();
		this.store.close();
		this.plans.close();
		for (JobRecord job : this.waitedFor) {
			job.waiters().forEach((waiter) -> answer(job, waiter, waiter.lateStatus()));
			job.waiters().clear();
		}
	}

	void tick(long now, boolean startsAllowed) {
		this.plans.tick();
		this.driver.startsAllowed(startsAllowed);
		this.driver.feed(new JobEvent.Tick());
		for (Iterator<JobRecord> each = this.waitedFor.iterator(); each.hasNext();) {
			JobRecord job = each.next();
			answerLate(now, job);
			if (job.waiters().isEmpty()) {
				each.remove();
			}
		}
	}

	/**
	 * Takes a worker's heartbeat.
	 * @param worker the worker
	 * @param members all that it holds and runs
	 * @return the attempts whose end is in the table, so that the worker can forget them
	 */
	List<Attempt> heard(WorkerId worker, List<HeldMember> members) {
		for (ExpectedMembers.Member gone : this.driver.expected().heard(worker, members)) {
			this.driver.feed(new JobEvent.MemberEnded(gone.attempt(), gone.member(), JobOutcome.UNKNOWN));
		}
		Set<Attempt> asked = this.reportedOver.computeIfAbsent(worker, (id) -> new LinkedHashSet<>());
		members.forEach((member) -> asked.add(member.attempt()));
		List<Attempt> forgotten = new ArrayList<>();
		for (Attempt attempt : asked) {
			if (isOver(attempt)) {
				forgotten.add(attempt);
			}
		}
		asked.clear();
		return forgotten;
	}

	private boolean isOver(Attempt attempt) {
		Optional<JobRecord> job = this.store.job(attempt.job());
		return job.isEmpty() || job.get().isOver(attempt);
	}

	/**
	 * Takes a worker's report about a member.
	 * @param worker the worker
	 * @param message the report
	 */
	void reported(WorkerId worker, Message message) {
		if (message instanceof Message.MemberEnded ended) {
			this.reportedOver.computeIfAbsent(worker, (id) -> new LinkedHashSet<>()).add(ended.attempt());
			this.driver.expected().over(ended.attempt(), ended.member());
			this.driver.feed(new JobEvent.MemberEnded(ended.attempt(), ended.member(), ended.outcome()));
		}
		else if (message instanceof Message.MemberUsage usage) {
			this.driver.feed(new JobEvent.MemberUsage(usage.attempt(), usage.member(), usage.used()));
		}
		else if (message instanceof Message.MemberReport report) {
			this.driver.feed(event(report));
		}
	}

	private JobEvent event(Message.MemberReport report) {
		return switch (report.report()) {
			case PREPARED -> new JobEvent.MemberPrepared(report.attempt(), report.member());
			case REFUSED -> {
				this.driver.expected().over(report.attempt(), report.member());
				yield new JobEvent.MemberRefused(report.attempt(), report.member(), report.reason());
			}
			case STARTED -> new JobEvent.MemberStarted(report.attempt(), report.member());
			case CHECKPOINTED -> new JobEvent.MemberCheckpointed(report.attempt(), report.member());
		};
	}

	/**
	 * Submits a job.
	 * @param submission the job and who waits for the answer
	 */
	void submit(Submission submission) {
		this.store.submitted(submission);
		this.driver.feed(new JobEvent.JobSubmitted(submission.job(), submission.spec()));
	}

	/**
	 * The specification of a job, whoever owns it.
	 * @param id its identifier
	 * @return the specification, or empty if there is no such job
	 */
	Optional<JobSpec> spec(JobId id) {
		return this.store.job(id).map(JobRecord::spec);
	}

	/**
	 * Has somebody wait for a job's ending.
	 * @param id a job that is known
	 * @param waiter who waits
	 */
	void await(JobId id, JobWaiter waiter) {
		JobRecord job = this.store.job(id).orElseThrow();
		if (job.isEnded()) {
			answer(job, waiter, OK);
			return;
		}
		job.waiters().add(waiter);
		this.waitedFor.add(job);
	}

	/**
	 * A job's ending is in the table.
	 * @param job the job
	 */
	void ended(JobRecord job) {
		job.waiters().forEach((waiter) -> answer(job, waiter, OK));
		job.waiters().clear();
	}

	/**
	 * The document of a job as it stands.
	 * @param job the job
	 * @return its fields
	 */
	Map<String, Object> document(JobRecord job) {
		if (job.isEnded()) {
			return Listings.job(job);
		}
		Optional<JobView> view = this.driver.scheduler().job(job.id());
		return view.map(Listings::job).orElseGet(() -> Listings.job(job));
	}

	private void answerLate(long now, JobRecord job) {
		for (Iterator<JobWaiter> each = job.waiters().iterator(); each.hasNext();) {
			JobWaiter waiter = each.next();
			if (now >= waiter.untilMillis()) {
				each.remove();
				answer(job, waiter, waiter.lateStatus());
			}
		}
	}

	private void answer(JobRecord job, JobWaiter waiter, int status) {
		waiter.responder().answer(this.answerer.document(status, document(job)));
	}

}
