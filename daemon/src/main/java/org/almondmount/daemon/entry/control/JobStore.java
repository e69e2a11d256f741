package org.almondmount.daemon.entry.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.StoreOperation;
import org.almondmount.daemon.entry.store.StoreWriter;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.model.JobId;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.Write;

/**
 * The jobs' rows during one term as holder. Every write is on the condition that nobody
 * has taken the lease over since, and writes take effect in the order of the decisions.
 * Owned by the control duty.
 */
final class JobStore {

	private static final long ACCEPT_WITHIN_MILLIS = 10_000;

	private static final long PLACE_WITHIN_MILLIS = 20_000;

	private static final int MOST_ENDED = 20_000;

	private final Condition fence;

	private final StoreWriter writer;

	private final Mailbox mailbox;

	private final JobDriver.Term term;

	private final Submissions submissions;

	private final Map<JobId, JobRecord> jobs = new LinkedHashMap<>();

	private final Map<JobId, Submission> submitted = new HashMap<>();

	private Consumer<JobEvent> scheduler;

	private Consumer<JobRecord> onEnded;

	private boolean closed;

	private int ended;

	JobStore(Condition fence, StoreWriter writer, Mailbox mailbox, JobDriver.Term term, Submissions submissions) {
		this.fence = fence;
		this.writer = writer;
		this.mailbox = mailbox;
		this.term = term;
		this.submissions = submissions;
	}

	/**
	 * Says who hears of the endings of writes.
	 * @param toScheduler the scheduler
	 * @param endingStored told when a job's ending is in the table
	 */
	void connect(Consumer<JobEvent> toScheduler, Consumer<JobRecord> endingStored) {
		this.scheduler = toScheduler;
		this.onEnded = endingStored;
	}

	void recover(JobRecord job) {
		this.jobs.put(job.id(), job);
		if (job.isEnded()) {
			this.ended++;
		}
	}

	Optional<JobRecord> job(JobId id) {
		return Optional.ofNullable(this.jobs.get(id));
	}

	Iterable<JobRecord> jobs() {
		return this.jobs.values();
	}

	int waitingWrites() {
		return this.writer.waiting();
	}

	boolean isIdle() {
		return this.submitted.isEmpty();
	}

	/**
	 * Keeps a submission until the scheduler has decided on it.
	 * @param submission the submission
	 */
	void submitted(Submission submission) {
		this.submitted.put(submission.job(), submission);
	}

	/** The term is over: those who wait hear that the ending is not known. */
	void close() {
		this.closed = true;
		this.writer.close();
		this.submitted.values().forEach(this.submissions::unknown);
		this.submitted.clear();
	}

	void refuse(JobCommand.Refuse refuse) {
		Submission submission = this.submitted.remove(refuse.job());
		if (submission != null) {
			this.submissions.refused(submission, refuse.refusal());
		}
	}

	void accept(JobCommand.Accept accept) {
		JobRecord job = new JobRecord(accept.job(), accept.spec(), System.currentTimeMillis());
		this.jobs.put(job.id(), job);
		Submission submission = this.submitted.get(job.id());
		if (submission == null) {
			return;
		}
		List<Condition> conditions = submission.conditions(this.fence);
		write(conditions, submission.writes(job), ACCEPT_WITHIN_MILLIS, (result) -> accepted(job, submission, result));
	}

	private void accepted(JobRecord job, Submission submission, CommitResult result) {
		if (result instanceof CommitResult.Unknown) {
			this.submissions.unknown(submission);
			return;
		}
		this.submitted.remove(job.id());
		if (result instanceof CommitResult.Committed) {
			job.stored();
			this.submissions.accepted(submission);
			return;
		}
		job.discard();
		this.jobs.remove(job.id());
		this.submissions.notStored(submission, result);
		this.scheduler.accept(new JobEvent.JobCancelled(job.id()));
	}

	void place(JobCommand.CommitPlacement commit) {
		Attempt attempt = commit.attempt();
		JobRecord job = this.jobs.get(attempt.job());
		if (job == null || job.isDiscarded()) {
			this.scheduler.accept(new JobEvent.PlacementRejected(attempt));
			return;
		}
		job.whenStored(() -> {
			job.placed(attempt.number(), commit.placement());
			write(job, PLACE_WITHIN_MILLIS, (result) -> placed(job, attempt, result));
		});
	}

	private void placed(JobRecord job, Attempt attempt, CommitResult result) {
		if (result instanceof CommitResult.Committed) {
			job.overUpTo(attempt.number() - 1);
			this.scheduler.accept(new JobEvent.PlacementCommitted(attempt));
		}
		else if (!(result instanceof CommitResult.Unknown)) {
			this.scheduler.accept(new JobEvent.PlacementRejected(attempt));
		}
	}

	void requeue(JobCommand.Requeue requeue) {
		Attempt attempt = requeue.attempt();
		JobRecord job = this.jobs.get(attempt.job());
		if (job == null || job.attempt() != attempt.number() || job.placement().isEmpty()) {
			return;
		}
		job.requeued(requeue.reason());
		write(job, StoreOperation.NEVER, (result) -> {
			if (result instanceof CommitResult.Committed) {
				job.overUpTo(attempt.number());
			}
		});
	}

	void finish(JobCommand.Finish finish) {
		JobRecord job = this.jobs.get(finish.job());
		if (job == null || job.isDiscarded()) {
			return;
		}
		job.whenStored(() -> {
			job.ended(finish.outcome(), finish.reason());
			write(job, StoreOperation.NEVER, (result) -> finished(job, result));
		});
	}

	private void finished(JobRecord job, CommitResult result) {
		if (!(result instanceof CommitResult.Committed)) {
			return;
		}
		job.endingStored();
		this.ended++;
		this.onEnded.accept(job);
		if (this.ended > MOST_ENDED) {
			removeOldest();
		}
	}

	private void removeOldest() {
		for (JobRecord each : this.jobs.values()) {
			if (each.isEnded()) {
				this.ended--;
				this.jobs.remove(each.id());
				submit(List.of(this.fence), List.of(new Write(Keys.job(each.id()), Optional.empty())),
						StoreOperation.NEVER, (result) -> {
						});
				return;
			}
		}
	}

	private void write(JobRecord job, long within, Consumer<CommitResult> then) {
		Write row = new Write(Keys.job(job.id()), Optional.of(Json.write(job.row())));
		write(List.of(this.fence), List.of(row), within, then);
	}

	private void write(List<Condition> conditions, List<Write> writes, long within, Consumer<CommitResult> then) {
		long giveUp = (within == StoreOperation.NEVER) ? within : this.term.clock().millis() + within;
		submit(conditions, writes, giveUp, then);
	}

	private void submit(List<Condition> conditions, List<Write> writes, long giveUp, Consumer<CommitResult> then) {
		this.writer.submit(new StoreOperation(conditions, writes, giveUp, (result) -> this.mailbox.deliver(() -> {
			if (!this.closed) {
				then.accept(result);
			}
		})));
	}

}
