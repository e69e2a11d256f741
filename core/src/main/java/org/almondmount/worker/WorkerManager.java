package org.almondmount.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * Mediates between the holder of the term and one worker. Deterministic; not thread-safe.
 * <p>
 * It passes on orders of the highest epoch that it has received, renews the worker's
 * lease only as far as the holder granted it, and reports to the holder what the worker
 * lists. It has no durable state: after a restart it queries the worker and the holder.
 */
public final class WorkerManager {

	/** The minimum rate of a worker's clock, which may be 2 % slow. */
	private static final double MIN_WORKER_CLOCK_RATE = 0.98;

	/**
	 * Time without an answer after which heartbeats no longer vouch for the worker, in
	 * milliseconds: a poll waits a second for an end and a third of a second for its
	 * answer.
	 */
	private static final long WORKER_ANSWER_TIMEOUT_MILLIS = 2_000;

	/**
	 * How long the capacity that a worker announced is used, in milliseconds. One
	 * announcement may be missing. The limit matters because a paused process reads
	 * orders that arrived before newer announcements.
	 */
	private static final long DESCRIPTION_VALIDITY_MILLIS = 3_500;

	/**
	 * Number of heartbeats whose send time is remembered; more than are sent within a
	 * lease.
	 */
	private static final int MAX_REMEMBERED_HEARTBEATS = 64;

	/**
	 * Time after which an announced shutdown no longer counts if the worker still
	 * answers, in milliseconds: it has a new incarnation, or did not shut down.
	 */
	private static final long LEAVING_NOTICE_VALIDITY_MILLIS = 5_000;

	private final String target;

	private final WorkerPolicy policy;

	private final Map<Long, Long> heartbeatSentAt = new LinkedHashMap<>();

	private final Map<String, OrderedRun> orders = new HashMap<>();

	private final TreeMap<Long, WorkerReport.Ended> unacknowledgedEnds = new TreeMap<>();

	private final ActiveRuns activeRuns = new ActiveRuns();

	private final RecentCrashes crashes = new RecentCrashes();

	private List<WorkerCommand> commands = new ArrayList<>();

	private Optional<WorkerDescription> description = Optional.empty();

	private long describedAtMillis;

	private long lastAnnouncement;

	private final UnconfirmedAnnouncements unconfirmedAnnouncements;

	private WorkerIncarnation incarnation = WorkerIncarnation.NONE;

	private List<WorkerReport.Running> running = List.of();

	/** Whether the last answer may lack ends. */
	private boolean endsTruncated;

	private long workerClockMillis;

	private long workerClockReadAt;

	private long epoch;

	private long obeyedEpoch;

	private boolean holderConnected;

	private long lastHeartbeat;

	private long nextHeartbeat = Long.MIN_VALUE;

	private long leaseUntil = Long.MIN_VALUE;

	private long acknowledgedEnd;

	/** The last end that the worker has forgotten: it answered the acknowledgement. */
	private long forgottenEnd;

	/** The ends that outstanding polls acknowledge. */
	private final Map<Long, Long> pollAcknowledgements = new HashMap<>();

	private long lastPollNumber;

	private long outstandingPoll;

	/**
	 * The first poll that was sent after the last answer of the current incarnation.
	 * Another incarnation that answers it is a later one.
	 */
	private long firstPollAfterAnswer;

	private long nextPollAt = Long.MIN_VALUE;

	private Map<Long, Long> pollEpochs = new HashMap<>();

	private long leavingNoticeAt = Long.MIN_VALUE;

	/** The first poll that was sent after the worker announced its shutdown. */
	private long firstPollAfterLeaving;

	/**
	 * When a poll first found the worker absent, since its last answer and since it
	 * announced its shutdown.
	 */
	private long absentSince = Long.MAX_VALUE;

	/** The time between the first and the last poll that found the worker absent. */
	private long absentMillis;

	private boolean lastPollFailed;

	private long workerAnsweredAt = Long.MIN_VALUE;

	private boolean pollRequested;

	private boolean reportDue;

	private boolean polledSinceReport;

	private long nextProgressReportAt;

	public WorkerManager(String target, WorkerPolicy policy) {
		this.target = target;
		this.policy = policy;
		this.unconfirmedAnnouncements = new UnconfirmedAnnouncements(DESCRIPTION_VALIDITY_MILLIS,
				policy.pollRetryPauseMillis());
	}

	/**
	 * Handles one event.
	 * @param now the driver's monotonic clock in milliseconds
	 * @param event the event
	 * @return the commands to execute, in order
	 */
	public List<WorkerCommand> handle(long now, WorkerEvent event) {
		this.commands = new ArrayList<>();
		if (!dispatchHolderEvent(now, event)) {
			dispatchWorkerEvent(now, event);
		}
		issueCommands(now);
		return this.commands;
	}

	private boolean dispatchHolderEvent(long now, WorkerEvent event) {
		if (event instanceof WorkerEvent.HolderConnected connected) {
			handleHolderConnected(connected.epoch());
		}
		else if (event instanceof WorkerEvent.HolderDisconnected) {
			this.holderConnected = false;
		}
		else if (event instanceof WorkerEvent.LeaseGranted granted) {
			handleLeaseGranted(granted);
		}
		else if (event instanceof WorkerEvent.StartOrdered start) {
			handleStartOrder(now, start);
		}
		else if (event instanceof WorkerEvent.StopOrdered stop) {
			handleStopOrder(now, stop);
		}
		else if (event instanceof WorkerEvent.EndsRecorded recorded) {
			handleEndsRecorded(recorded);
		}
		else {
			return false;
		}
		return true;
	}

	private void dispatchWorkerEvent(long now, WorkerEvent event) {
		if (event instanceof WorkerEvent.WorkerAnnounced announced) {
			handleAnnouncement(now, announced);
		}
		else if (event instanceof WorkerEvent.PollAnswered answered) {
			handlePollAnswer(now, answered);
		}
		else if (event instanceof WorkerEvent.WorkerLeaving leaving) {
			if (leaving.worker().equals(this.incarnation.worker())) {
				this.leavingNoticeAt = now;
				this.firstPollAfterLeaving = this.lastPollNumber + 1;
				resetAbsence();
			}
		}
		else if (event instanceof WorkerEvent.PollFailed failed) {
			handlePollFailed(now, failed);
		}
		else if (event instanceof WorkerEvent.StartCallEnded ended) {
			handleStartCallEnded(now, ended);
		}
		else if (event instanceof WorkerEvent.StopCallEnded ended) {
			handleStopCallEnded(now, ended);
		}
	}

	private void handleHolderConnected(long holderEpoch) {
		if (holderEpoch < this.epoch) {
			return;
		}
		if (holderEpoch > this.epoch) {
			this.epoch = holderEpoch;
			this.orders.clear();
			this.pollRequested = true;
			this.commands.add(WorkerCommand.LogDecision.of("epoch-raised", "epoch", holderEpoch));
		}
		this.holderConnected = true;
		this.reportDue = true;
		this.nextHeartbeat = Long.MIN_VALUE;
	}

	private void handleLeaseGranted(WorkerEvent.LeaseGranted granted) {
		Long sentAt = this.heartbeatSentAt.get(granted.heartbeat());
		if (granted.epoch() < this.epoch || sentAt == null) {
			return;
		}
		this.leaseUntil = Math.max(this.leaseUntil, sentAt + granted.leaseMillis());
	}

	// An order is valid as long as the lease that the holder granted for the last
	// heartbeat it had received. After that the holder assumes that no run of the order
	// is active, so an order that is delivered late after a broken connection must not
	// start a run.
	private void handleStartOrder(long now, WorkerEvent.StartOrdered order) {
		if (ignoreIfStale("start", order.epoch(), order.incarnation(), order.task(), order.run())) {
			return;
		}
		String key = runKey(order.task(), order.run());
		if (this.orders.containsKey(key) || isListed(order.task(), order.run())) {
			return;
		}
		OrderedRun run = new OrderedRun(order, now);
		this.orders.put(key, run);
		Optional<String> refusal = refusalReason(now, order);
		if (refusal.isEmpty()) {
			sendStart(now, run);
			return;
		}
		// The previous process of this target may have sent the same order, and its call
		// may still be executed. The refusal is therefore reported only after the worker
		// was ordered to stop the run, which then never starts.
		run.notStartedReason(refusal.get());
		run.stopRequested(true);
		sendStop(run);
	}

	private boolean ignoreIfStale(String orderKind, long orderEpoch, WorkerIncarnation orderIncarnation, TaskId task,
			int run) {
		if (orderEpoch >= this.epoch && orderIncarnation.equals(this.incarnation)) {
			return false;
		}
		IgnoredReason reason = (orderEpoch < this.epoch) ? IgnoredReason.OLD_EPOCH : IgnoredReason.ANOTHER_LIFE;
		this.commands.add(new WorkerCommand.IgnoreOrder(orderKind, task, run, orderEpoch, reason));
		return true;
	}

	// Some workers start every run they are ordered to, and this process is informed
	// earlier than the holder that the worker has less capacity than the holder assumed.
	private Optional<String> refusalReason(long now, WorkerEvent.StartOrdered order) {
		Long sentAt = this.heartbeatSentAt.get(order.heartbeat());
		if (sentAt == null || leaseUntilOnWorkerClock(now) == 0) {
			return Optional.of("the target holds no valid lease");
		}
		if (this.description.isEmpty() || isDraining()) {
			return Optional.of("draining");
		}
		if (now - this.describedAtMillis > DESCRIPTION_VALIDITY_MILLIS) {
			return Optional.of("the last announcement of the worker is too old");
		}
		if (!order.capacity().fitsIn(this.description.get().capacity())) {
			return Optional.of("the capacity of the worker has shrunk");
		}
		return Optional.empty();
	}

	private void sendStart(long now, OrderedRun run) {
		WorkerEvent.StartOrdered order = run.order();
		run.recordStartCall(now);
		this.commands.add(new WorkerCommand.Start(this.incarnation, this.epoch, order.task(), order.run(),
				order.program(), order.checkpoint(), leaseUntilOnWorkerClock(now)));
	}

	private void handleStopOrder(long now, WorkerEvent.StopOrdered order) {
		if (ignoreIfStale("stop", order.epoch(), order.incarnation(), order.task(), order.run())) {
			return;
		}
		String key = runKey(order.task(), order.run());
		OrderedRun run = this.orders.computeIfAbsent(key, (name) -> OrderedRun.ofStopOrder(order, now));
		run.stopRequested(true);
		if (!run.stopCallOutstanding()) {
			sendStop(run);
		}
	}

	private void sendStop(OrderedRun run) {
		run.stopCallOutstanding(true);
		this.commands.add(new WorkerCommand.Stop(this.incarnation, this.epoch, run.order().task(), run.order().run()));
	}

	private void handleEndsRecorded(WorkerEvent.EndsRecorded recorded) {
		if (recorded.epoch() < this.epoch || !recorded.incarnation().equals(this.incarnation)
				|| recorded.upTo() <= this.acknowledgedEnd) {
			return;
		}
		this.acknowledgedEnd = recorded.upTo();
		this.unacknowledgedEnds.headMap(recorded.upTo(), true).clear();
		this.pollRequested = true;
	}

	// An announcement may come from anybody, or late from an earlier incarnation, so it
	// only causes the worker to be asked. Only an answer of the worker begins an
	// incarnation.
	private void handleAnnouncement(long now, WorkerEvent.WorkerAnnounced announced) {
		if (announced.description().incarnation().equals(this.incarnation)) {
			describe(now, announced);
			return;
		}
		this.unconfirmedAnnouncements.add(now, announced)
			.ifPresent((dropped) -> refuseAnnouncement(dropped, AnnouncementRefusal.TOO_MANY));
	}

	private void refuseAnnouncement(WorkerIncarnation announced, AnnouncementRefusal reason) {
		this.commands.add(new WorkerCommand.RefuseAnnouncement(announced, this.incarnation, reason));
	}

	private void describe(long receivedAt, WorkerEvent.WorkerAnnounced event) {
		WorkerDescription announced = event.description();
		// Announcements can overtake each other: an older one may contain capacity that
		// is gone, or a ready state of a worker that is now draining.
		boolean overtaken = event.announcementNumber() < this.lastAnnouncement;
		if (overtaken || (isDraining() && !announced.draining())) {
			return;
		}
		this.lastAnnouncement = event.announcementNumber();
		boolean unchanged = this.description
			.map((known) -> known.draining() == announced.draining() && known.capacity().equals(announced.capacity()))
			.orElse(false);
		this.description = Optional.of(announced);
		this.describedAtMillis = receivedAt;
		this.reportDue |= !unchanged;
	}

	private void describeIfAnnounced() {
		this.unconfirmedAnnouncements.remove(this.incarnation)
			.ifPresent((received) -> describe(received.receivedAt(), received.announced()));
	}

	private void handlePollFailed(long now, WorkerEvent.PollFailed failed) {
		handlePollEnded(failed.pollNumber());
		Optional<WorkerIncarnation> asked = this.unconfirmedAnnouncements.askedBy(failed.pollNumber());
		asked.ifPresent((announced) -> handleUnconfirmed(now, announced, failed));
		if (asked.isPresent() && !asked.get().worker().equals(this.incarnation.worker())) {
			return;
		}
		if (failed.workerAbsent() && failed.pollNumber() >= this.firstPollAfterLeaving) {
			this.absentSince = Math.min(this.absentSince, now);
			this.absentMillis = now - this.absentSince;
		}
		abandonRunsIfWorkerLeft();
		// The last ends of a worker that shuts down can be read only while it lives.
		boolean retryAtOnce = this.leavingNoticeAt != Long.MIN_VALUE && !this.lastPollFailed;
		this.nextPollAt = retryAtOnce ? now : now + this.policy.pollRetryPauseMillis();
		this.lastPollFailed = true;
	}

	private void handleUnconfirmed(long now, WorkerIncarnation announced, WorkerEvent.PollFailed failed) {
		if (failed.workerAbsent()) {
			this.unconfirmedAnnouncements.remove(announced);
			refuseAnnouncement(announced, AnnouncementRefusal.NOT_THIS_WORKER);
			return;
		}
		this.unconfirmedAnnouncements.retryLater(now, announced);
	}

	private void resetAbsence() {
		this.absentSince = Long.MAX_VALUE;
		this.absentMillis = 0;
	}

	// A worker that announced its shutdown and is gone has no active runs. They need not
	// wait until their lease expires. It may live on for seconds after its announcement,
	// so an unanswered poll does not show that it is gone, and neither do refusals of one
	// moment; and the answer to a poll that is still outstanding may contain the ends of
	// its last runs. A start that was sent later may have reached the next incarnation,
	// which can have the same name.
	private void abandonRunsIfWorkerLeft() {
		boolean gone = this.leavingNoticeAt != Long.MIN_VALUE && this.absentSince != Long.MAX_VALUE
				&& this.absentMillis >= this.policy.pollRetryPauseMillis();
		if (!gone || !this.pollEpochs.isEmpty()) {
			return;
		}
		for (WorkerReport.Running run : this.running) {
			this.commands.add(new WorkerCommand.SendRunNotStarted(run.task(), run.run(), "the worker has shut down"));
		}
		for (OrderedRun run : List.copyOf(this.orders.values())) {
			if (run.lastStartMillis() < this.absentSince) {
				this.commands.add(new WorkerCommand.SendRunNotStarted(run.order().task(), run.order().run(),
						"the worker has shut down"));
				this.orders.remove(runKey(run.order().task(), run.order().run()));
			}
		}
		this.running = List.of();
	}

	private boolean isDraining() {
		return this.description.map(WorkerDescription::draining).orElse(false);
	}

	// A new incarnation has no runs, ends or orders of the previous one. The answer to a
	// poll that was sent before the worker announced its name contains the same
	// incarnation without the name. If it were adopted, the holder's orders for that
	// incarnation would not match and would be ignored.
	private void beginIncarnation(long now, WorkerIncarnation next) {
		if (next.equals(this.incarnation)) {
			return;
		}
		if (next.startedAtMillis() == this.incarnation.startedAtMillis()) {
			this.incarnation = next.worker().isEmpty() ? this.incarnation : next;
			return;
		}
		recordCrash(now);
		this.commands.add(WorkerCommand.LogDecision.of("worker-life", "life", next, "before", this.incarnation,
				"acknowledgedEnd", this.acknowledgedEnd));
		this.incarnation = next;
		this.description = Optional.empty();
		this.lastAnnouncement = 0;
		this.running = List.of();
		this.unacknowledgedEnds.clear();
		this.endsTruncated = false;
		this.orders.clear();
		this.acknowledgedEnd = 0;
		this.forgottenEnd = 0;
		this.pollAcknowledgements.clear();
		this.leavingNoticeAt = Long.MIN_VALUE;
		resetAbsence();
		this.obeyedEpoch = 0;
		this.pollRequested = true;
	}

	// A worker announces its shutdown first. A new incarnation without that announcement
	// means that the worker crashed together with its active runs, possibly because of
	// one of them.
	private void recordCrash(long now) {
		List<WorkerReport.Crashed> runs = this.activeRuns.removeAll(this.incarnation, this.workerAnsweredAt);
		boolean leaving = isDraining() || this.leavingNoticeAt != Long.MIN_VALUE;
		if (!runs.isEmpty() && !leaving) {
			this.crashes.add(now, runs);
			this.commands.add(new WorkerCommand.CountCrash(this.incarnation, runs));
		}
	}

	private void handlePollAnswer(long now, WorkerEvent.PollAnswered answer) {
		Long pollEpoch = this.pollEpochs.get(answer.pollNumber());
		Long pollAcknowledgement = this.pollAcknowledgements.get(answer.pollNumber());
		handlePollEnded(answer.pollNumber());
		handleConfirmation(now, answer);
		if (!isCurrentOrLater(answer)) {
			this.pollRequested = true;
			return;
		}
		if (pollAcknowledgement != null
				&& answer.incarnation().startedAtMillis() == this.incarnation.startedAtMillis()) {
			this.forgottenEnd = Math.max(this.forgottenEnd, pollAcknowledgement);
		}
		beginIncarnation(now, answer.incarnation());
		this.firstPollAfterAnswer = this.lastPollNumber + 1;
		describeIfAnnounced();
		// A lease is granted only for a worker that answers. After a restart the first
		// heartbeat is sent before the first answer; without another heartbeat now, every
		// order would be refused for lack of a lease until the next one is due.
		if (!workerAnswers(now)) {
			this.nextHeartbeat = Long.MIN_VALUE;
		}
		this.workerAnsweredAt = now;
		resetAbsence();
		this.lastPollFailed = false;
		if (this.leavingNoticeAt != Long.MIN_VALUE && now - this.leavingNoticeAt > LEAVING_NOTICE_VALIDITY_MILLIS) {
			this.leavingNoticeAt = Long.MIN_VALUE;
		}
		this.workerClockMillis = answer.clockMillis();
		this.workerClockReadAt = now;
		if (pollEpoch != null && pollEpoch > this.obeyedEpoch) {
			this.obeyedEpoch = pollEpoch;
			this.reportDue = true;
		}
		this.polledSinceReport = true;
		updateRuns(answer);
		recordTruncation(answer);
		confirmStops(answer);
	}

	private void handleConfirmation(long now, WorkerEvent.PollAnswered answer) {
		Optional<WorkerIncarnation> asked = this.unconfirmedAnnouncements.askedBy(answer.pollNumber());
		if (asked.isEmpty()) {
			return;
		}
		if (asked.get().equals(answer.incarnation())) {
			this.unconfirmedAnnouncements.retryLater(now, asked.get());
			return;
		}
		this.unconfirmedAnnouncements.remove(asked.get());
		refuseAnnouncement(asked.get(), AnnouncementRefusal.NOT_THIS_WORKER);
	}

	// The start times of two incarnations do not tell which one is later: the clock that
	// they are read from may have been set back in between.
	private boolean isCurrentOrLater(WorkerEvent.PollAnswered answer) {
		return answer.incarnation().startedAtMillis() == this.incarnation.startedAtMillis()
				|| answer.pollNumber() >= this.firstPollAfterAnswer;
	}

	private void recordTruncation(WorkerEvent.PollAnswered answer) {
		if (answer.endsTruncated() != this.endsTruncated) {
			this.endsTruncated = answer.endsTruncated();
			this.commands.add(WorkerCommand.LogDecision.of("ends-truncated", "truncated", this.endsTruncated, "listed",
					answer.ended().size(), "after", this.acknowledgedEnd, "orders", this.orders.size()));
		}
	}

	private void updateRuns(WorkerEvent.PollAnswered answer) {
		for (WorkerReport.Ended end : answer.ended()) {
			if (end.sequence() > this.acknowledgedEnd && this.unacknowledgedEnds.put(end.sequence(), end) == null) {
				this.reportDue = true;
				this.orders.remove(runKey(end.task(), end.run()));
			}
			this.activeRuns.recordEnd(end.task(), end.run());
		}
		List<WorkerReport.Running> stillRunning = new ArrayList<>();
		for (WorkerReport.Running run : answer.running()) {
			if (!hasEnded(run.task(), run.run())) {
				stillRunning.add(run);
				this.activeRuns.recordStart(run.task(), run.run(), this.workerAnsweredAt, this.lastPollNumber);
			}
		}
		this.activeRuns.removeUnlisted(answer.pollNumber(), answer.running());
		if (!listSameRuns(stillRunning, this.running)) {
			this.reportDue = true;
		}
		if (this.running.isEmpty() && !stillRunning.isEmpty()) {
			this.nextPollAt = Long.MIN_VALUE;
		}
		this.running = List.copyOf(stillRunning);
	}

	// A run that was ordered to stop, and that is in neither list of a poll sent after
	// the stop was answered, was never started and will be refused from now on. A
	// truncated list may lack its end; the worker lists further ends once the holder has
	// recorded those before them.
	private void confirmStops(WorkerEvent.PollAnswered answer) {
		if (answer.endsTruncated()) {
			return;
		}
		for (OrderedRun run : List.copyOf(this.orders.values())) {
			TaskId task = run.order().task();
			int number = run.order().run();
			boolean polledAfterStop = run.firstPollAfterStop() != 0 && answer.pollNumber() >= run.firstPollAfterStop();
			if (polledAfterStop && !isListed(task, number)) {
				this.orders.remove(runKey(task, number));
				this.commands.add(new WorkerCommand.SendRunNotStarted(task, number, run.notStartedReason()));
			}
		}
	}

	private void handleStartCallEnded(long now, WorkerEvent.StartCallEnded ended) {
		OrderedRun run = this.orders.get(runKey(ended.task(), ended.run()));
		if (run == null) {
			return;
		}
		if (ended.outcome() == WorkerEvent.CallOutcome.DONE) {
			resetAbsence();
			this.activeRuns.recordStart(ended.task(), ended.run(), now, this.lastPollNumber);
		}
		if (run.stopRequested()) {
			return;
		}
		if (ended.outcome() == WorkerEvent.CallOutcome.DONE) {
			run.resetStartCalls();
			this.pollRequested = true;
			return;
		}
		boolean retryable = ended.outcome() == WorkerEvent.CallOutcome.UNANSWERED
				&& refusalReason(now, run.order()).isEmpty();
		if (retryable && run.mayRetryStart()) {
			sendStart(now, run);
			return;
		}
		run.notStartedReason(ended.reason());
		run.stopRequested(true);
		sendStop(run);
	}

	private void handleStopCallEnded(long now, WorkerEvent.StopCallEnded ended) {
		OrderedRun run = this.orders.get(runKey(ended.task(), ended.run()));
		if (run == null) {
			return;
		}
		run.stopCallOutstanding(false);
		if (ended.outcome() == WorkerEvent.CallOutcome.DONE) {
			resetAbsence();
			run.firstPollAfterStop(this.lastPollNumber + 1);
			this.pollRequested = true;
			return;
		}
		run.retryStopAt(now + this.policy.pollRetryPauseMillis());
	}

	// Progress is reported only after a new poll: an old list that is reported again
	// would make an active task look stalled.
	private void issueCommands(long now) {
		retryStops(now);
		pollIfDue(now);
		confirmAnnouncements(now);
		if (!this.holderConnected) {
			return;
		}
		if (now >= this.nextHeartbeat) {
			this.nextHeartbeat = now + this.policy.heartbeatIntervalMillis();
			this.commands.add(new WorkerCommand.SendHeartbeat(nextHeartbeat(now)));
		}
		boolean progressDue = !this.running.isEmpty() && this.polledSinceReport && now >= this.nextProgressReportAt;
		if ((this.reportDue || progressDue) && this.description.isPresent() && workerAnswers(now)) {
			this.reportDue = false;
			this.polledSinceReport = false;
			this.nextProgressReportAt = now + this.policy.progressReportIntervalMillis();
			this.commands.add(
					new WorkerCommand.SendReport(new WorkerReport(this.target, this.description.get(), this.obeyedEpoch,
							this.running, List.copyOf(this.unacknowledgedEnds.values()), this.crashes.runs(now))));
		}
	}

	// This process may outlive its worker. A heartbeat that vouches for the worker would
	// make the holder consider its runs active forever; without a number it only keeps
	// the connection open.
	private long nextHeartbeat(long now) {
		if (!workerAnswers(now)) {
			return WorkerCommand.SendHeartbeat.WORKER_SILENT;
		}
		this.heartbeatSentAt.put(++this.lastHeartbeat, now);
		this.heartbeatSentAt.keySet().removeIf((number) -> number <= this.lastHeartbeat - MAX_REMEMBERED_HEARTBEATS);
		return this.lastHeartbeat;
	}

	private boolean workerAnswers(long now) {
		boolean absent = this.absentSince != Long.MAX_VALUE;
		return !absent && this.workerAnsweredAt != Long.MIN_VALUE
				&& now - this.workerAnsweredAt <= WORKER_ANSWER_TIMEOUT_MILLIS;
	}

	private void retryStops(long now) {
		for (OrderedRun run : this.orders.values()) {
			if (run.stopRequested() && !run.stopCallOutstanding() && run.firstPollAfterStop() == 0
					&& now >= run.retryStopAt()) {
				sendStop(run);
			}
		}
	}

	// An acknowledgement is sent only until the worker has answered it: a call that is
	// executed late, in the next incarnation, would make that one forget its first ends.
	// One long poll waits for an end on a busy worker; another poll is sent in parallel
	// when something has to be known or acknowledged at once. A worker without runs
	// answers at once, so it is polled only at intervals, and again as soon as it starts
	// a run, which may end or be stopped within the pause.
	private void pollIfDue(long now) {
		boolean regular = this.outstandingPoll == 0 && now >= this.nextPollAt;
		if (!regular && !this.pollRequested) {
			return;
		}
		boolean busy = !this.running.isEmpty();
		long waitMillis = (regular && busy && !this.pollRequested) ? this.policy.pollWaitMillis() : 0;
		this.pollRequested = false;
		long number = ++this.lastPollNumber;
		if (waitMillis > 0) {
			this.outstandingPoll = number;
			this.nextPollAt = now + this.policy.pollRetryPauseMillis();
		}
		else if (regular) {
			this.nextPollAt = now + (busy ? 0 : this.policy.pollWaitMillis());
		}
		this.pollEpochs.put(number, this.epoch);
		long acknowledgement = (this.acknowledgedEnd > this.forgottenEnd) ? this.acknowledgedEnd : 0;
		this.pollAcknowledgements.put(number, acknowledgement);
		this.commands.add(new WorkerCommand.Poll(number, this.incarnation, this.epoch, acknowledgement,
				(this.incarnation.startedAtMillis() != 0) ? leaseUntilOnWorkerClock(now) : 0, waitMillis));
	}

	private void confirmAnnouncements(long now) {
		this.unconfirmedAnnouncements.removeExpired(now)
			.forEach((announced) -> refuseAnnouncement(announced, AnnouncementRefusal.NOT_CONFIRMED));
		for (WorkerIncarnation announced : this.unconfirmedAnnouncements.due(now)) {
			long number = ++this.lastPollNumber;
			this.unconfirmedAnnouncements.recordPoll(announced, number);
			this.pollEpochs.put(number, this.epoch);
			this.commands.add(new WorkerCommand.Poll(number, announced, this.epoch, 0, 0, 0));
		}
	}

	private void handlePollEnded(long pollNumber) {
		this.pollEpochs.remove(pollNumber);
		this.pollAcknowledgements.remove(pollNumber);
		if (pollNumber == this.outstandingPoll) {
			this.outstandingPoll = 0;
		}
	}

	private long leaseUntilOnWorkerClock(long now) {
		if (now >= this.leaseUntil || this.workerClockReadAt == 0) {
			return 0;
		}
		long workerClockNow = this.workerClockMillis + (long) ((now - this.workerClockReadAt) * MIN_WORKER_CLOCK_RATE);
		return workerClockNow + (this.leaseUntil - now);
	}

	private boolean isListed(TaskId task, int run) {
		for (WorkerReport.Running listed : this.running) {
			if (listed.task().equals(task) && listed.run() == run) {
				return true;
			}
		}
		return hasEnded(task, run);
	}

	private boolean hasEnded(TaskId task, int run) {
		for (WorkerReport.Ended end : this.unacknowledgedEnds.values()) {
			if (end.task().equals(task) && end.run() == run) {
				return true;
			}
		}
		return false;
	}

	private static boolean listSameRuns(List<WorkerReport.Running> some, List<WorkerReport.Running> others) {
		if (some.size() != others.size()) {
			return false;
		}
		for (int i = 0; i < some.size(); i++) {
			boolean same = some.get(i).task().equals(others.get(i).task()) && some.get(i).run() == others.get(i).run();
			if (!same) {
				return false;
			}
		}
		return true;
	}

	private static String runKey(TaskId task, int run) {
		return task + "/" + run;
	}

}
