package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.WorkerCalls;
import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;
import org.almondmount.worker.WorkerEvent.CallOutcome;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * A simulated worker that starts every run that its lease and its fencing epoch allow.
 * Calls to it may lose their answers and be executed seconds later.
 */
final class SimWorker implements WorkerCalls {

	private static final long CALL_TIMEOUT_MILLIS = 300;

	private static final long MAX_CALL_DELAY_MILLIS = 8_000;

	private static final long STOP_DURATION_MILLIS = 150;

	private static final long GANG_TIMEOUT_MILLIS = 3_000;

	private static final long TICK_INTERVAL_MILLIS = 20;

	/** Time until a worker that crashed under a task is available again. */
	private static final long CRASH_DOWNTIME_MILLIS = 3_300;

	/**
	 * Time during which a former, larger capacity may still be filled: the period in
	 * which a connected worker makes contact, plus one announcement interval.
	 */
	private static final long FORMER_CAPACITY_MILLIS = 3_000 + 1_500;

	private final SimulationClock clock;

	private final Random random;

	private final InvariantChecker checker;

	private final String name;

	private final String zone;

	private final String rack;

	private ResourceAmount capacity;

	/** Former capacities, by the time until which they may still be filled. */
	private final TreeMap<Long, ResourceAmount> formerCapacities = new TreeMap<>();

	private final Map<String, ActiveRun> running = new LinkedHashMap<>();

	private final Map<TaskId, Integer> highestEndedRuns = new HashMap<>();

	private final TreeMap<Long, WorkerReport.Ended> ended = new TreeMap<>();

	private final Map<Long, Long> endedAt = new HashMap<>();

	private long leaseLapsedAt;

	private long startedAtMillis;

	private long lastEndSequence;

	private long fencingEpoch;

	private long leaseUntil;

	private boolean draining;

	private long drainingUntil;

	private double unansweredShare;

	/** The time until which everything that is started fails. */
	private long failingUntil = Long.MIN_VALUE;

	private double unansweredPollShare;

	private int maxListedEnds = Integer.MAX_VALUE;

	private boolean removed;

	/** The time until which the worker is down after a crash. */
	private long downUntil = Long.MIN_VALUE;

	SimWorker(SimulationClock time, Random random, InvariantChecker checker, String name, String zone, String rack,
			ResourceAmount capacity) {
		this.clock = time;
		this.random = random;
		this.checker = checker;
		this.name = name;
		this.zone = zone;
		this.rack = rack;
		this.capacity = capacity;
		this.startedAtMillis = time.now();
		tick();
	}

	WorkerIncarnation incarnation() {
		return new WorkerIncarnation(this.name, this.startedAtMillis);
	}

	String name() {
		return this.name;
	}

	String zone() {
		return this.zone;
	}

	/**
	 * Returns the capacity that a start must not exceed.
	 * @param calledAt when the start command was sent; it may be executed late
	 * @return the maximum of the current capacity and of those that still count
	 */
	ResourceAmount capacityLimit(long calledAt) {
		this.formerCapacities.headMap(this.clock.now() - MAX_CALL_DELAY_MILLIS).clear();
		ResourceAmount limit = this.capacity;
		for (ResourceAmount former : this.formerCapacities.tailMap(calledAt).values()) {
			limit = limit.max(former);
		}
		return limit;
	}

	/**
	 * Changes the capacity while the worker runs.
	 * @param newCapacity the capacity from now on
	 */
	void resize(ResourceAmount newCapacity) {
		this.formerCapacities.merge(this.clock.now() + FORMER_CAPACITY_MILLIS, this.capacity, ResourceAmount::max);
		this.capacity = newCapacity;
	}

	WorkerDescription describe() {
		return new WorkerDescription(incarnation(), "pool", this.zone, Set.of(this.rack, "a"), this.capacity,
				this.draining, Math.max(0, this.drainingUntil - this.clock.now()));
	}

	/**
	 * Starts to drain: the worker continues for at least the given time in this
	 * incarnation.
	 * @param millis the time in milliseconds
	 */
	void drain(long millis) {
		this.draining = true;
		this.drainingUntil = this.clock.now() + millis;
	}

	void setUnansweredShare(double share) {
		this.unansweredShare = share;
	}

	// What is started in the given time fails right away; what runs already continues.
	void failStartsFor(long millis) {
		this.failingUntil = this.clock.now() + millis;
	}

	void setUnansweredPollShare(double share) {
		this.unansweredPollShare = share;
	}

	/**
	 * Limits how many ends an answer lists; the earliest ones are listed.
	 * @param max the maximum number
	 */
	void setMaxListedEnds(int max) {
		this.maxListedEnds = max;
	}

	// Ends the worker permanently; its target continues to run.
	void removePermanently() {
		crash();
		this.removed = true;
	}

	/**
	 * Returns whether the worker does not answer at the moment.
	 * @return whether it was removed or is down after a crash
	 */
	boolean isUnavailable() {
		return this.removed || this.clock.now() < this.downUntil;
	}

	// Ends all runs, does not answer for the given time and then starts as a new
	// incarnation.
	void crashAndRestartAfter(long millis) {
		crash();
		this.downUntil = this.clock.now() + millis;
		this.startedAtMillis = this.downUntil;
	}

	void crash() {
		this.checker.onCrashed(this);
		this.running.clear();
		this.ended.clear();
		this.highestEndedRuns.clear();
		this.lastEndSequence = 0;
		this.endedAt.clear();
		this.fencingEpoch = 0;
		this.leaseUntil = 0;
		this.draining = false;
		this.startedAtMillis = this.clock.now();
	}

	@Override
	public CompletableFuture<WorkerEvent> poll(WorkerCommand.Poll poll) {
		CompletableFuture<WorkerEvent> answer = new CompletableFuture<>();
		boolean addressesOther = !poll.incarnation().worker().isEmpty()
				&& !poll.incarnation().worker().equals(this.name);
		if (isUnavailable()) {
			this.clock.scheduleAfter(1,
					() -> answer.complete(new WorkerEvent.PollFailed(poll.pollNumber(), "connection refused", true)));
			return answer;
		}
		if (addressesOther) {
			answer.complete(new WorkerEvent.PollFailed(poll.pollNumber(), "different incarnation", true));
			return answer;
		}
		if (this.unansweredPollShare > 0 && this.random.nextDouble() < this.unansweredPollShare) {
			this.clock.scheduleAfter(1, () -> answerPoll(poll, this.clock.now(), new CompletableFuture<>(), true));
			this.clock.scheduleAfter(CALL_TIMEOUT_MILLIS + poll.maxWaitMillis(),
					() -> answer.complete(new WorkerEvent.PollFailed(poll.pollNumber(), "no answer", false)));
			return answer;
		}
		this.clock.scheduleAfter(1, () -> answerPoll(poll, this.clock.now() + poll.maxWaitMillis(), answer, true));
		return answer;
	}

	@Override
	public CompletableFuture<WorkerEvent.StartCallEnded> start(WorkerCommand.Start start) {
		CompletableFuture<WorkerEvent.StartCallEnded> answer = new CompletableFuture<>();
		long addressedIncarnation = this.startedAtMillis;
		long calledAt = this.clock.now();
		performCall(() -> {
			String refusal = (addressedIncarnation == this.startedAtMillis) ? startRun(start, calledAt)
					: "different incarnation";
			CallOutcome outcome = refusal.isEmpty() ? CallOutcome.DONE : CallOutcome.REFUSED;
			answer.complete(new WorkerEvent.StartCallEnded(start.task(), start.run(), outcome, refusal));
		}, () -> answer
			.complete(new WorkerEvent.StartCallEnded(start.task(), start.run(), CallOutcome.UNANSWERED, "no answer")));
		return answer;
	}

	@Override
	public CompletableFuture<WorkerEvent.StopCallEnded> stop(WorkerCommand.Stop stop) {
		CompletableFuture<WorkerEvent.StopCallEnded> answer = new CompletableFuture<>();
		long addressedIncarnation = this.startedAtMillis;
		performCall(() -> {
			CallOutcome outcome = (addressedIncarnation == this.startedAtMillis && stopRun(stop)) ? CallOutcome.DONE
					: CallOutcome.REFUSED;
			answer.complete(new WorkerEvent.StopCallEnded(stop.task(), stop.run(), outcome));
		}, () -> answer.complete(new WorkerEvent.StopCallEnded(stop.task(), stop.run(), CallOutcome.UNANSWERED)));
		return answer;
	}

	private void performCall(Runnable call, Runnable onUnanswered) {
		if (isUnavailable()) {
			this.clock.scheduleAfter(1, onUnanswered);
			return;
		}
		if (this.random.nextDouble() < this.unansweredShare) {
			this.clock.scheduleAfter(this.random.nextBoolean() ? 1 : this.random.nextLong(MAX_CALL_DELAY_MILLIS), call);
			this.clock.scheduleAfter(CALL_TIMEOUT_MILLIS, onUnanswered);
			return;
		}
		this.clock.scheduleAfter(1, call);
	}

	private String startRun(WorkerCommand.Start start, long calledAt) {
		if (start.epoch() < this.fencingEpoch) {
			return "epoch below the fencing epoch";
		}
		this.fencingEpoch = Math.max(this.fencingEpoch, start.epoch());
		this.leaseUntil = Math.max(this.leaseUntil, start.leaseUntilMillis());
		String key = start.task() + "/" + start.run();
		if (this.running.containsKey(key)) {
			return "";
		}
		if (start.run() <= this.highestEndedRuns.getOrDefault(start.task(), 0)) {
			return "run has ended already";
		}
		if (start.leaseUntilMillis() <= this.clock.now()) {
			return "lease has expired";
		}
		boolean failsAtOnce = this.clock.now() < this.failingUntil;
		this.running.put(key, new ActiveRun(start.task(), start.run(), this.clock.now(), failsAtOnce));
		this.checker.onStarted(this, start, calledAt);
		scheduleCrash(start);
		return "";
	}

	private void scheduleCrash(WorkerCommand.Start start) {
		long startedAt = this.startedAtMillis;
		String key = start.task() + "/" + start.run();
		this.checker.crashAfterMillis(start.task()).ifPresent((millis) -> this.clock.scheduleAfter(millis, () -> {
			if (this.startedAtMillis == startedAt && this.running.containsKey(key)) {
				this.checker.recordCrash(start.task());
				crashAndRestartAfter(CRASH_DOWNTIME_MILLIS);
			}
		}));
	}

	private boolean stopRun(WorkerCommand.Stop stop) {
		if (stop.epoch() < this.fencingEpoch) {
			return false;
		}
		this.fencingEpoch = Math.max(this.fencingEpoch, stop.epoch());
		this.highestEndedRuns.merge(stop.task(), stop.run(), Math::max);
		this.clock.scheduleAfter(STOP_DURATION_MILLIS,
				() -> endRun(stop.task() + "/" + stop.run(), RunOutcome.STOPPED));
		return true;
	}

	private void answerPoll(WorkerCommand.Poll poll, long deadline, CompletableFuture<WorkerEvent> answer,
			boolean firstAttempt) {
		if (firstAttempt) {
			boolean epochAccepted = poll.epoch() >= this.fencingEpoch;
			this.fencingEpoch = Math.max(this.fencingEpoch, poll.epoch());
			if (epochAccepted && poll.incarnation().equals(incarnation())) {
				this.leaseUntil = Math.max(this.leaseUntil, poll.leaseUntilMillis());
				this.ended.headMap(poll.acknowledgedEnd(), true).values().forEach(this::onAcknowledged);
				this.ended.headMap(poll.acknowledgedEnd(), true).clear();
			}
		}
		if (isUnavailable()) {
			answer.complete(new WorkerEvent.PollFailed(poll.pollNumber(), "worker is unavailable", false));
			return;
		}
		if (this.clock.now() < deadline && this.ended.isEmpty()) {
			this.clock.scheduleAfter(TICK_INTERVAL_MILLIS, () -> answerPoll(poll, deadline, answer, false));
			return;
		}
		List<WorkerReport.Running> runs = new ArrayList<>();
		this.running.values()
			.forEach((run) -> runs
				.add(new WorkerReport.Running(run.task, run.run, "", this.checker.progressPercent(run.task, run.run))));
		List<WorkerReport.Ended> ends = this.ended.values().stream().limit(this.maxListedEnds).toList();
		answer.complete(new WorkerEvent.PollAnswered(poll.pollNumber(), incarnation(), this.clock.now(), runs, ends,
				ends.size() == this.maxListedEnds));
	}

	// Ends that were followed by a lapse of the lease do not count: the holder that
	// started the run had fenced it by then and may have started the task again.
	private void onAcknowledged(WorkerReport.Ended end) {
		if (this.endedAt.getOrDefault(end.sequence(), 0L) > this.leaseLapsedAt) {
			this.checker.onAcknowledged(end);
		}
	}

	private void tick() {
		if (this.clock.now() >= this.leaseUntil) {
			this.leaseLapsedAt = this.clock.now();
			List.copyOf(this.running.keySet()).forEach((key) -> endRun(key, RunOutcome.LAPSED));
		}
		for (Map.Entry<String, ActiveRun> entry : List.copyOf(this.running.entrySet())) {
			if (!this.running.containsKey(entry.getKey())) {
				continue;
			}
			checkProgress(entry.getKey(), entry.getValue());
		}
		this.clock.scheduleAfter(TICK_INTERVAL_MILLIS, this::tick);
	}

	private void checkProgress(String key, ActiveRun run) {
		if (run.failsAtOnce) {
			endRun(key, RunOutcome.FAILED);
			return;
		}
		InvariantChecker.RunProgress work = this.checker.progressOf(run.task, run.run);
		if (work.gangMember() && !work.fullyRunning()) {
			if (work.gangBroken()) {
				endRun(key, RunOutcome.BROKEN);
			}
			else if (this.clock.now() - run.startedAtMillis >= GANG_TIMEOUT_MILLIS) {
				endRun(key, RunOutcome.ALONE);
			}
			return;
		}
		if (work.failed()) {
			endRun(key, RunOutcome.FAILED);
		}
		else if (work.finished()) {
			endRun(key, RunOutcome.DONE);
		}
	}

	private void endRun(String key, RunOutcome outcome) {
		ActiveRun run = this.running.remove(key);
		if (run == null) {
			return;
		}
		this.highestEndedRuns.merge(run.task, run.run, Math::max);
		WorkerReport.Ended end = new WorkerReport.Ended(++this.lastEndSequence, run.task, run.run, outcome, "");
		this.ended.put(end.sequence(), end);
		this.endedAt.put(end.sequence(), this.clock.now());
		this.checker.onEnded(this, run.task, run.run, outcome);
	}

	/**
	 * A run on this worker.
	 */
	private record ActiveRun(TaskId task, int run, long startedAtMillis, boolean failsAtOnce) {
	}

}
