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
 * A worker that starts whatever it is told to, as its lease and fence allow. Calls may
 * lose their answers, and be carried out seconds later.
 */
final class SimWorker implements WorkerCalls {

	private static final long TIMEOUT_MILLIS = 300;

	private static final long LATEST_MILLIS = 8_000;

	private static final long STOP_MILLIS = 150;

	private static final long GANG_MILLIS = 3_000;

	private static final long TICK_MILLIS = 20;

	/** A worker that crashed under a task is back after so long. */
	private static final long BACK_MILLIS = 3_300;

	/**
	 * What has shrunk may be filled for so long: the time in which a worker in touch is
	 * heard, and one announcement.
	 */
	private static final long SHRUNK_COUNTS_MILLIS = 3_000 + 1_500;

	private final VirtualTime time;

	private final Random random;

	private final Checker checker;

	private final String name;

	private final String zone;

	private final String rack;

	private ResourceAmount capacity;

	/** Former capacities, by the time until which they may still be filled. */
	private final TreeMap<Long, ResourceAmount> shrunk = new TreeMap<>();

	private final Map<String, Active> running = new LinkedHashMap<>();

	private final Map<TaskId, Integer> highestEnded = new HashMap<>();

	private final TreeMap<Long, WorkerReport.Ended> ended = new TreeMap<>();

	private final Map<Long, Long> endedAt = new HashMap<>();

	private long lapsedAt;

	private long born;

	private long endNumber;

	private long fence;

	private long leaseUntil;

	private boolean draining;

	private double unanswered;

	private boolean gone;

	/** Until when it is down after a crash. */
	private long downUntil = Long.MIN_VALUE;

	SimWorker(VirtualTime time, Random random, Checker checker, String name, String zone, String rack,
			ResourceAmount capacity) {
		this.time = time;
		this.random = random;
		this.checker = checker;
		this.name = name;
		this.zone = zone;
		this.rack = rack;
		this.capacity = capacity;
		this.born = time.now();
		tick();
	}

	WorkerIncarnation life() {
		return new WorkerIncarnation(this.name, this.born);
	}

	String name() {
		return this.name;
	}

	String zone() {
		return this.zone;
	}

	/**
	 * What a start must not bring it over.
	 * @param calledAt when it was told to start; it may carry that out late
	 * @return its capacity, and what it was for a while before that
	 */
	ResourceAmount limit(long calledAt) {
		this.shrunk.headMap(this.time.now() - LATEST_MILLIS).clear();
		ResourceAmount limit = this.capacity;
		for (ResourceAmount former : this.shrunk.tailMap(calledAt).values()) {
			limit = limit.max(former);
		}
		return limit;
	}

	/**
	 * Its room changes while it runs.
	 * @param next its room from now on
	 */
	void resize(ResourceAmount next) {
		this.shrunk.merge(this.time.now() + SHRUNK_COUNTS_MILLIS, this.capacity, ResourceAmount::max);
		this.capacity = next;
	}

	WorkerDescription describe() {
		return new WorkerDescription(life(), "pool", this.zone, Set.of(this.rack, "a"), this.capacity, this.draining,
				0);
	}

	void lose(double share) {
		this.unanswered = share;
	}

	// Ends for good; its target lives on.
	void vanish() {
		crash();
		this.gone = true;
	}

	/**
	 * Whether it answers nothing now.
	 * @return whether it is gone, or down after a crash
	 */
	boolean away() {
		return this.gone || this.time.now() < this.downUntil;
	}

	// Runs nothing and answers nothing for a while, and comes back in another life.
	void crashFor(long millis) {
		crash();
		this.downUntil = this.time.now() + millis;
		this.born = this.downUntil;
	}

	void crash() {
		this.checker.crashed(this);
		this.running.clear();
		this.ended.clear();
		this.highestEnded.clear();
		this.endNumber = 0;
		this.endedAt.clear();
		this.fence = 0;
		this.leaseUntil = 0;
		this.born = this.time.now();
	}

	@Override
	public CompletableFuture<WorkerEvent> poll(WorkerCommand.Poll look) {
		CompletableFuture<WorkerEvent> answer = new CompletableFuture<>();
		boolean other = !look.incarnation().worker().isEmpty() && !look.incarnation().worker().equals(this.name);
		if (away()) {
			this.time.after(1, () -> answer.complete(new WorkerEvent.PollFailed(look.pollNumber(), "refused")));
			return answer;
		}
		if (other) {
			answer.complete(new WorkerEvent.PollFailed(look.pollNumber(), "another life"));
			return answer;
		}
		this.time.after(1, () -> answerLook(look, this.time.now() + look.maxWaitMillis(), answer, true));
		return answer;
	}

	@Override
	public CompletableFuture<WorkerEvent.StartCallEnded> start(WorkerCommand.Start start) {
		CompletableFuture<WorkerEvent.StartCallEnded> answer = new CompletableFuture<>();
		long meant = this.born;
		long calledAt = this.time.now();
		perform(() -> {
			String refusal = (meant == this.born) ? begin(start, calledAt) : "another life";
			CallOutcome ending = refusal.isEmpty() ? CallOutcome.DONE : CallOutcome.REFUSED;
			answer.complete(new WorkerEvent.StartCallEnded(start.task(), start.run(), ending, refusal));
		}, () -> answer
			.complete(new WorkerEvent.StartCallEnded(start.task(), start.run(), CallOutcome.UNANSWERED, "no answer")));
		return answer;
	}

	@Override
	public CompletableFuture<WorkerEvent.StopCallEnded> stop(WorkerCommand.Stop stop) {
		CompletableFuture<WorkerEvent.StopCallEnded> answer = new CompletableFuture<>();
		long meant = this.born;
		perform(() -> {
			CallOutcome ending = (meant == this.born && end(stop)) ? CallOutcome.DONE : CallOutcome.REFUSED;
			answer.complete(new WorkerEvent.StopCallEnded(stop.task(), stop.run(), ending));
		}, () -> answer.complete(new WorkerEvent.StopCallEnded(stop.task(), stop.run(), CallOutcome.UNANSWERED)));
		return answer;
	}

	private void perform(Runnable call, Runnable lost) {
		if (away()) {
			this.time.after(1, lost);
			return;
		}
		if (this.random.nextDouble() < this.unanswered) {
			this.time.after(this.random.nextBoolean() ? 1 : this.random.nextLong(LATEST_MILLIS), call);
			this.time.after(TIMEOUT_MILLIS, lost);
			return;
		}
		this.time.after(1, call);
	}

	private String begin(WorkerCommand.Start start, long calledAt) {
		if (start.epoch() < this.fence) {
			return "fence";
		}
		this.fence = Math.max(this.fence, start.epoch());
		this.leaseUntil = Math.max(this.leaseUntil, start.leaseUntilMillis());
		String key = start.task() + "/" + start.run();
		if (this.running.containsKey(key)) {
			return "";
		}
		if (start.run() <= this.highestEnded.getOrDefault(start.task(), 0)) {
			return "old";
		}
		if (start.leaseUntilMillis() <= this.time.now()) {
			return "late";
		}
		this.running.put(key, new Active(start.task(), start.run(), this.time.now()));
		this.checker.started(this, start, calledAt);
		crashUnder(start);
		return "";
	}

	private void crashUnder(WorkerCommand.Start start) {
		long life = this.born;
		String key = start.task() + "/" + start.run();
		this.checker.crashAfterMillis(start.task()).ifPresent((millis) -> this.time.after(millis, () -> {
			if (this.born == life && this.running.containsKey(key)) {
				this.checker.crashedUnder(start.task());
				crashFor(BACK_MILLIS);
			}
		}));
	}

	private boolean end(WorkerCommand.Stop stop) {
		if (stop.epoch() < this.fence) {
			return false;
		}
		this.fence = Math.max(this.fence, stop.epoch());
		this.highestEnded.merge(stop.task(), stop.run(), Math::max);
		this.time.after(STOP_MILLIS, () -> finish(stop.task() + "/" + stop.run(), RunOutcome.STOPPED));
		return true;
	}

	private void answerLook(WorkerCommand.Poll look, long until, CompletableFuture<WorkerEvent> answer, boolean first) {
		if (first) {
			boolean obeyed = look.epoch() >= this.fence;
			this.fence = Math.max(this.fence, look.epoch());
			if (obeyed && look.incarnation().equals(life())) {
				this.leaseUntil = Math.max(this.leaseUntil, look.leaseUntilMillis());
				this.ended.headMap(look.acknowledgedEnd(), true).values().forEach(this::acknowledged);
				this.ended.headMap(look.acknowledgedEnd(), true).clear();
			}
		}
		if (away()) {
			answer.complete(new WorkerEvent.PollFailed(look.pollNumber(), "gone"));
			return;
		}
		if (this.time.now() < until && this.ended.isEmpty()) {
			this.time.after(TICK_MILLIS, () -> answerLook(look, until, answer, false));
			return;
		}
		List<WorkerReport.Running> runs = new ArrayList<>();
		this.running.values()
			.forEach((run) -> runs
				.add(new WorkerReport.Running(run.task, run.run, "", this.checker.percent(run.task, run.run))));
		answer.complete(new WorkerEvent.PollAnswered(look.pollNumber(), life(), this.time.now(), runs,
				List.copyOf(this.ended.values())));
	}

	// An end after which the lease ran out does not count: whoever ordered the run had
	// given it up by then and may have started the task again.
	private void acknowledged(WorkerReport.Ended end) {
		if (this.endedAt.getOrDefault(end.sequence(), 0L) > this.lapsedAt) {
			this.checker.acknowledged(end);
		}
	}

	private void tick() {
		if (this.time.now() >= this.leaseUntil) {
			this.lapsedAt = this.time.now();
			List.copyOf(this.running.keySet()).forEach((key) -> finish(key, RunOutcome.LAPSED));
		}
		for (Map.Entry<String, Active> entry : List.copyOf(this.running.entrySet())) {
			if (!this.running.containsKey(entry.getKey())) {
				continue;
			}
			progress(entry.getKey(), entry.getValue());
		}
		this.time.after(TICK_MILLIS, this::tick);
	}

	private void progress(String key, Active run) {
		Checker.Work work = this.checker.work(run.task, run.run);
		if (work.gang() && !work.whole()) {
			if (work.broken()) {
				finish(key, RunOutcome.BROKEN);
			}
			else if (this.time.now() - run.since >= GANG_MILLIS) {
				finish(key, RunOutcome.ALONE);
			}
			return;
		}
		if (work.fails()) {
			finish(key, RunOutcome.FAILED);
		}
		else if (work.finished()) {
			finish(key, RunOutcome.DONE);
		}
	}

	private void finish(String key, RunOutcome how) {
		Active run = this.running.remove(key);
		if (run == null) {
			return;
		}
		this.highestEnded.merge(run.task, run.run, Math::max);
		WorkerReport.Ended end = new WorkerReport.Ended(++this.endNumber, run.task, run.run, how, "");
		this.ended.put(end.sequence(), end);
		this.endedAt.put(end.sequence(), this.time.now());
		this.checker.ended(this, run.task, run.run, how);
	}

	/**
	 * A run on this worker.
	 */
	private record Active(TaskId task, int run, long since) {
	}

}
