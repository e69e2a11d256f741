package org.almondmount.daemon.entry.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.model.WorkerId;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.Message;

/**
 * Carries out the job decisions of one term as holder: sends orders under the term's
 * epoch and hands writes to {@link JobStore}. Owned by the control duty.
 */
final class JobDriver {

	private static final EventLog LOG = EventLog.of(JobDriver.class);

	private final long epoch;

	private final JobScheduler scheduler;

	private final Term term;

	private final JobStore store;

	private final ExpectedMembers expected = new ExpectedMembers();

	private final Deque<JobEvent> events = new ArrayDeque<>();

	private boolean working;

	private boolean startsAllowed;

	private boolean closed;

	JobDriver(long epoch, JobScheduler scheduler, Term term, JobStore store) {
		this.epoch = epoch;
		this.scheduler = scheduler;
		this.term = term;
		this.store = store;
	}

	JobScheduler scheduler() {
		return this.scheduler;
	}

	ExpectedMembers expected() {
		return this.expected;
	}

	/** The term is over: nothing is carried out any more. */
	void close() {
		this.closed = true;
		this.events.clear();
	}

	/**
	 * Tells the scheduler whether new work may start, if that has changed.
	 * @param allowed whether it may
	 */
	void startsAllowed(boolean allowed) {
		if (allowed != this.startsAllowed) {
			this.startsAllowed = allowed;
			feed(new JobEvent.StartsAllowed(allowed));
		}
	}

	void feed(JobEvent event) {
		if (this.closed) {
			return;
		}
		this.events.add(event);
		if (this.working) {
			return;
		}
		this.working = true;
		try {
			while (!this.events.isEmpty()) {
				long now = this.term.clock().millis();
				this.scheduler.handle(now, this.events.remove()).forEach(this::carryOut);
			}
		}
		finally {
			this.working = false;
		}
	}

	private void carryOut(JobCommand command) {
		if (this.closed) {
			return;
		}
		if (command instanceof JobCommand.Prepare prepare) {
			prepare(prepare);
		}
		else if (command instanceof JobCommand.Start start) {
			start(start);
		}
		else if (command instanceof JobCommand.CommitPlacement commit) {
			this.store.place(commit);
		}
		else if (command instanceof JobCommand.Accept accept) {
			this.store.accept(accept);
		}
		else if (command instanceof JobCommand.Refuse refuse) {
			this.store.refuse(refuse);
		}
		else if (command instanceof JobCommand.Requeue requeue) {
			LOG.info("requeued", "job", requeue.attempt().job(), "attempt", requeue.attempt().number(), "why",
					requeue.reason());
			this.expected.over(requeue.attempt());
			this.store.requeue(requeue);
		}
		else if (command instanceof JobCommand.Finish finish) {
			LOG.info("finished", "job", finish.job(), "attempt", finish.lastAttempt(), "ending", finish.outcome(),
					"why", finish.reason());
			this.expected.over(new Attempt(finish.job(), finish.lastAttempt()));
			this.store.finish(finish);
		}
		else if (command instanceof JobCommand.WakeAt wake) {
			this.term.wakeAt().accept(wake.atMillis());
		}
		else if (command instanceof JobCommand.LogDecision explain) {
			LOG.info("explain", "subject", explain.subject(), "what", explain.message());
			this.term.history().add(explain.subject(), explain.message(), "scheduler");
		}
		else {
			order(command);
		}
	}

	// Nothing was sent, so the member certainly holds nothing and need not be waited for.
	private void prepare(JobCommand.Prepare prepare) {
		boolean sent = mayStart() && this.term.orders()
			.send(prepare.worker(), new Message.Prepare(this.epoch, prepare.attempt(), prepare.member(), prepare.spec(),
					prepare.fromCheckpoint()));
		if (!sent) {
			this.events.add(new JobEvent.MemberRefused(prepare.attempt(), prepare.member(),
					"the order to hold it could not be sent"));
		}
	}

	// A holder that was paused between its decision and this line may have lost its lease
	// and the zone may have gone out: the task would start there. Looking at the clock
	// right here is enough for the pause before it; for one after it the target refuses
	// the lower epoch and a view of the zone that is too old.
	private void start(JobCommand.Start start) {
		if (!mayStart()) {
			LOG.warn("start-held-back", "job", start.attempt().job(), "attempt", start.attempt().number(), "member",
					start.member());
			return;
		}
		this.expected.expect(start.worker(), start.attempt(), start.member());
		send(start.worker(), start.attempt(), start.member(), Message.Order.START);
	}

	private boolean mayStart() {
		return this.startsAllowed && this.term.mayStart().getAsBoolean();
	}

	private void order(JobCommand command) {
		if (command instanceof JobCommand.Abort abort) {
			this.expected.over(abort.attempt(), abort.member());
			send(abort.worker(), abort.attempt(), abort.member(), Message.Order.ABORT);
		}
		else if (command instanceof JobCommand.Suspend suspend) {
			send(suspend.worker(), suspend.attempt(), suspend.member(), Message.Order.SUSPEND);
		}
		else if (command instanceof JobCommand.Stop stop) {
			send(stop.worker(), stop.attempt(), stop.member(), Message.Order.STOP);
		}
		else if (command instanceof JobCommand.Throttle throttle) {
			send(throttle.worker(), throttle.attempt(), throttle.member(), Message.Order.THROTTLE);
		}
	}

	private void send(WorkerId worker, Attempt attempt, int member, Message.Order order) {
		if (!this.term.mayAct().getAsBoolean()) {
			return;
		}
		boolean sent = this.term.orders().send(worker, new Message.MemberOrder(this.epoch, attempt, member, order));
		if (!sent) {
			LOG.info("order-not-sent", "worker", worker, "order", order, "job", attempt.job(), "attempt",
					attempt.number(), "member", member);
		}
	}

	/**
	 * Takes over a job of the former holder.
	 * @param job the job as the table has it
	 */
	void recover(JobRecord job) {
		List<Assignment> placement = job.placement();
		Attempt attempt = new Attempt(job.id(), job.attempt());
		for (Assignment each : placement) {
			this.expected.expect(each.worker(), attempt, each.member());
		}
		boolean hasCheckpoint = job.spec().savesCheckpoints() && job.attempt() > 0;
		feed(new JobEvent.JobRecovered(job.id(), job.spec(), job.attempt(), placement, !placement.isEmpty(),
				hasCheckpoint));
	}

	/**
	 * What a term as holder works with.
	 *
	 * @param clock the clock
	 * @param orders sends orders
	 * @param mayAct whether the lease is valid at this very moment
	 * @param mayStart whether besides the view of the zones is fresh
	 * @param wakeAt arms the alarm
	 * @param history the lines of history
	 */
	record Term(MonotonicClock clock, Orders orders, BooleanSupplier mayAct, BooleanSupplier mayStart,
			LongConsumer wakeAt, HistoryLog history) {
	}

}
