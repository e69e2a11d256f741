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
 * Stands between the holder of the term and one worker. Deterministic; not thread-safe.
 * <p>
 * It passes on orders of the highest epoch that it has heard of, renews the worker's
 * lease only as far as the holder granted it, and tells the holder what the worker lists.
 * It keeps nothing that lasts: after a restart it asks the worker and the holder.
 */
public final class WorkerKeeper {

	/** A worker's clock may be 2 % slow. */
	private static final double SLOWEST_CLOCK = 0.98;

	/**
	 * Silence of the worker after which it is no longer vouched for, in milliseconds: a
	 * look waits a second for an end and a third of one for its answer.
	 */
	private static final long WORKER_SILENCE_MILLIS = 2_000;

	/**
	 * The capacity that a worker announced is reckoned with for so long, in milliseconds:
	 * one announcement may be missing. A paused process reads orders that lie before
	 * newer announcements.
	 */
	private static final long DESCRIBED_MILLIS = 3_500;

	/** Heartbeats whose sending time is remembered: more than a lease holds. */
	private static final int REMEMBERED_HEARTBEATS = 64;

	/** Looks in a row that fail after a worker said that it ends: then it is gone. */
	private static final int FAILED_LOOKS_OF_ONE_GONE = 2;

	/** One that still answers so long after has another life, or did not mean it. */
	private static final long LEAVING_MILLIS = 5_000;

	private final String target;

	private final WorkerPolicy policy;

	private final Map<Long, Long> heartbeats = new LinkedHashMap<>();

	private final Map<String, OrderedRun> orders = new HashMap<>();

	private final TreeMap<Long, WorkerReport.Ended> ends = new TreeMap<>();

	private final BegunRuns begun = new BegunRuns();

	private final RecentCrashes crashes = new RecentCrashes();

	private List<WorkerCommand> commands = new ArrayList<>();

	private Optional<WorkerDescription> description = Optional.empty();

	private long describedAt;

	private long announcement;

	private WorkerIncarnation life = WorkerIncarnation.NONE;

	private List<WorkerReport.Running> running = List.of();

	private long clockMillis;

	private long clockReadAt;

	private long epoch;

	private long obeyedEpoch;

	private boolean holder;

	private long lastHeartbeat;

	private long nextHeartbeat = Long.MIN_VALUE;

	private long leaseUntil = Long.MIN_VALUE;

	private long acknowledged;

	private long lastLook;

	private long outstandingLook;

	private long nextLook = Long.MIN_VALUE;

	private Map<Long, Long> lookEpochs = new HashMap<>();

	private long leftAt = Long.MIN_VALUE;

	private int failedLooks;

	private long workerAnsweredAt = Long.MIN_VALUE;

	private boolean lookSoon;

	private boolean reportDue;

	private boolean lookedSinceReport;

	private long nextProgress;

	public WorkerKeeper(String target, WorkerPolicy policy) {
		this.target = target;
		this.policy = policy;
	}

	/**
	 * Takes one event.
	 * @param now the driver's steady clock in milliseconds
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	public List<WorkerCommand> handle(long now, WorkerEvent event) {
		this.commands = new ArrayList<>();
		if (!fromHolder(now, event)) {
			fromWorker(now, event);
		}
		act(now);
		return this.commands;
	}

	private boolean fromHolder(long now, WorkerEvent event) {
		if (event instanceof WorkerEvent.HolderFound found) {
			holderFound(found.epoch());
		}
		else if (event instanceof WorkerEvent.HolderGone) {
			this.holder = false;
		}
		else if (event instanceof WorkerEvent.Granted granted) {
			granted(granted);
		}
		else if (event instanceof WorkerEvent.StartOrdered start) {
			startOrdered(now, start);
		}
		else if (event instanceof WorkerEvent.StopOrdered stop) {
			stopOrdered(now, stop);
		}
		else if (event instanceof WorkerEvent.EndsKept kept) {
			endsKept(kept);
		}
		else {
			return false;
		}
		return true;
	}

	private void fromWorker(long now, WorkerEvent event) {
		if (event instanceof WorkerEvent.Described described) {
			described(now, described.worker(), described.announcement());
		}
		else if (event instanceof WorkerEvent.Looked looked) {
			looked(now, looked);
		}
		else if (event instanceof WorkerEvent.Left left) {
			if (left.worker().equals(this.life.worker())) {
				this.leftAt = now;
			}
		}
		else if (event instanceof WorkerEvent.LookFailed failed) {
			lookEnded(failed.look());
			this.failedLooks++;
			gone();
			this.nextLook = now + this.policy.lookPauseMillis();
		}
		else if (event instanceof WorkerEvent.StartEnded ended) {
			startEnded(now, ended);
		}
		else if (event instanceof WorkerEvent.StopEnded ended) {
			stopEnded(now, ended);
		}
	}

	private void holderFound(long found) {
		if (found < this.epoch) {
			return;
		}
		if (found > this.epoch) {
			this.epoch = found;
			this.orders.clear();
			this.lookSoon = true;
			this.commands.add(WorkerCommand.Explain.of("epoch-raised", "epoch", found));
		}
		this.holder = true;
		this.reportDue = true;
		this.nextHeartbeat = Long.MIN_VALUE;
	}

	private void granted(WorkerEvent.Granted granted) {
		Long sent = this.heartbeats.get(granted.heartbeat());
		if (granted.epoch() < this.epoch || sent == null) {
			return;
		}
		this.leaseUntil = Math.max(this.leaseUntil, sent + granted.leaseMillis());
	}

	// An order is good for as long as the lease that the holder granted with the last
	// heartbeat it had heard. After that the holder takes for granted that nothing of the
	// order runs, and an order that a cut connection delivers late must not begin a run.
	private void startOrdered(long now, WorkerEvent.StartOrdered order) {
		if (ignored("start", order.epoch(), order.life(), order.task(), order.run())) {
			return;
		}
		String key = key(order.task(), order.run());
		if (this.orders.containsKey(key) || isListed(order.task(), order.run())) {
			return;
		}
		OrderedRun run = new OrderedRun(order);
		this.orders.put(key, run);
		Optional<String> refusal = refusal(now, order);
		if (refusal.isEmpty()) {
			sendStart(now, run);
			return;
		}
		// The process that stood here before may have sent the same order, and its call
		// may still be carried out. So a refusal is only told once the worker was told to
		// stop the run, after which it never begins.
		run.why(refusal.get());
		run.stopWanted(true);
		sendStop(run);
	}

	private boolean ignored(String order, long sent, WorkerIncarnation meant, TaskId task, int run) {
		if (sent >= this.epoch && meant.equals(this.life)) {
			return false;
		}
		IgnoredReason why = (sent < this.epoch) ? IgnoredReason.OLD_EPOCH : IgnoredReason.ANOTHER_LIFE;
		this.commands.add(new WorkerCommand.IgnoreOrder(order, task, run, sent, why));
		return true;
	}

	// Some workers begin whatever they are told to, and this process hears first that the
	// worker has less room than the holder reckoned with.
	private Optional<String> refusal(long now, WorkerEvent.StartOrdered order) {
		Long sent = this.heartbeats.get(order.heartbeat());
		if (sent == null || leaseUntilByWorker(now) == 0) {
			return Optional.of("no lease");
		}
		if (this.description.isEmpty() || draining()) {
			return Optional.of("draining");
		}
		if (now - this.describedAt > DESCRIBED_MILLIS) {
			return Optional.of("not announced lately");
		}
		if (!order.capacity().fitsIn(this.description.get().capacity())) {
			return Optional.of("its room has shrunk");
		}
		return Optional.empty();
	}

	private void sendStart(long now, OrderedRun run) {
		WorkerEvent.StartOrdered order = run.order();
		this.commands.add(new WorkerCommand.Start(this.life, this.epoch, order.task(), order.run(), order.program(),
				order.checkpoint(), leaseUntilByWorker(now)));
	}

	private void stopOrdered(long now, WorkerEvent.StopOrdered order) {
		if (ignored("stop", order.epoch(), order.life(), order.task(), order.run())) {
			return;
		}
		String key = key(order.task(), order.run());
		OrderedRun run = this.orders.computeIfAbsent(key, (name) -> OrderedRun.unknown(order));
		run.stopWanted(true);
		if (!run.stopOutstanding()) {
			sendStop(run);
		}
	}

	private void sendStop(OrderedRun run) {
		run.stopOutstanding(true);
		this.commands.add(new WorkerCommand.Stop(this.life, this.epoch, run.order().task(), run.order().run()));
	}

	private void endsKept(WorkerEvent.EndsKept kept) {
		if (kept.epoch() < this.epoch || !kept.life().equals(this.life) || kept.upTo() <= this.acknowledged) {
			return;
		}
		this.acknowledged = kept.upTo();
		this.ends.headMap(kept.upTo(), true).clear();
		this.lookSoon = true;
	}

	private void described(long now, WorkerDescription said, long announcement) {
		if (said.incarnation().startedAtMillis() < this.life.startedAtMillis()) {
			return;
		}
		begin(now, said.incarnation());
		// Announcements overtake each other: an older one may tell of room that is gone,
		// or that a worker is ready which leaves by now.
		boolean overtaken = announcement < this.announcement;
		if (overtaken || (draining() && !said.draining())) {
			return;
		}
		this.announcement = announcement;
		boolean alike = this.description
			.map((known) -> known.draining() == said.draining() && known.capacity().equals(said.capacity()))
			.orElse(false);
		this.description = Optional.of(said);
		this.describedAt = now;
		this.reportDue |= !alike;
	}

	// A worker that said that it ends and does not answer any more runs nothing. Its runs
	// need not wait for their lease to run out.
	private void gone() {
		if (this.leftAt == Long.MIN_VALUE || this.failedLooks < FAILED_LOOKS_OF_ONE_GONE) {
			return;
		}
		for (WorkerReport.Running run : this.running) {
			this.commands.add(new WorkerCommand.SendNotBegun(run.task(), run.run(), "the worker left"));
		}
		for (OrderedRun run : this.orders.values()) {
			this.commands.add(new WorkerCommand.SendNotBegun(run.order().task(), run.order().run(), "the worker left"));
		}
		this.running = List.of();
		this.orders.clear();
	}

	private boolean draining() {
		return this.description.map(WorkerDescription::draining).orElse(false);
	}

	// A new life knows nothing of the former one's runs, ends and orders. A look that was
	// sent before the worker had told its name brings the same life without it; taken as
	// it is, the holder's orders for that life would not be known for what they are.
	private void begin(long now, WorkerIncarnation next) {
		if (next.equals(this.life)) {
			return;
		}
		if (next.startedAtMillis() == this.life.startedAtMillis()) {
			this.life = next.worker().isEmpty() ? this.life : next;
			return;
		}
		crashed(now);
		this.life = next;
		this.commands.add(WorkerCommand.Explain.of("worker-life", "life", next));
		this.description = Optional.empty();
		this.announcement = 0;
		this.running = List.of();
		this.ends.clear();
		this.orders.clear();
		this.acknowledged = 0;
		this.leftAt = Long.MIN_VALUE;
		this.failedLooks = 0;
		this.obeyedEpoch = 0;
		this.lookSoon = true;
	}

	// A worker that leaves says so first. One that comes back without a word took
	// down all that was at work there, or was taken down by it.
	private void crashed(long now) {
		List<WorkerReport.Crashed> runs = this.begun.takeAll(this.life, this.workerAnsweredAt);
		boolean left = draining() || this.leftAt != Long.MIN_VALUE;
		if (!runs.isEmpty() && !left) {
			this.crashes.add(now, runs);
			this.commands.add(new WorkerCommand.CountCrash(this.life, runs));
		}
	}

	private void looked(long now, WorkerEvent.Looked looked) {
		Long lookEpoch = this.lookEpochs.get(looked.look());
		lookEnded(looked.look());
		if (looked.life().startedAtMillis() < this.life.startedAtMillis()) {
			return;
		}
		begin(now, looked.life());
		// A lease is granted only for a worker that answers. After a restart the first
		// heartbeat leaves before the first answer, and every order would be refused for
		// want of a lease until the next one is due.
		if (!workerAnswers(now)) {
			this.nextHeartbeat = Long.MIN_VALUE;
		}
		this.workerAnsweredAt = now;
		this.failedLooks = 0;
		if (this.leftAt != Long.MIN_VALUE && now - this.leftAt > LEAVING_MILLIS) {
			this.leftAt = Long.MIN_VALUE;
		}
		this.clockMillis = looked.clockMillis();
		this.clockReadAt = now;
		if (lookEpoch != null && lookEpoch > this.obeyedEpoch) {
			this.obeyedEpoch = lookEpoch;
			this.reportDue = true;
		}
		this.lookedSinceReport = true;
		takeLists(looked);
		settle(looked);
	}

	private void takeLists(WorkerEvent.Looked looked) {
		for (WorkerReport.Ended end : looked.ended()) {
			if (end.sequence() > this.acknowledged && this.ends.put(end.sequence(), end) == null) {
				this.reportDue = true;
				this.orders.remove(key(end.task(), end.run()));
			}
			this.begun.ended(end.task(), end.run());
		}
		List<WorkerReport.Running> now = new ArrayList<>();
		for (WorkerReport.Running run : looked.running()) {
			if (!hasEnded(run.task(), run.run())) {
				now.add(run);
				this.begun.begun(run.task(), run.run(), this.workerAnsweredAt);
			}
		}
		if (!sameRuns(now, this.running)) {
			this.reportDue = true;
		}
		if (this.running.isEmpty() && !now.isEmpty()) {
			this.nextLook = Long.MIN_VALUE;
		}
		this.running = List.copyOf(now);
	}

	// A run that was told to stop, and is in neither list of a look that was sent after
	// the stop was answered, was never begun and will be refused from now on.
	private void settle(WorkerEvent.Looked looked) {
		for (OrderedRun run : List.copyOf(this.orders.values())) {
			TaskId task = run.order().task();
			int number = run.order().run();
			boolean settled = run.stopAnsweredBefore() != 0 && looked.look() >= run.stopAnsweredBefore();
			if (settled && !isListed(task, number)) {
				this.orders.remove(key(task, number));
				this.commands.add(new WorkerCommand.SendNotBegun(task, number, run.why()));
			}
		}
	}

	private void startEnded(long now, WorkerEvent.StartEnded ended) {
		OrderedRun run = this.orders.get(key(ended.task(), ended.run()));
		if (run == null) {
			return;
		}
		if (ended.ending() == WorkerEvent.CallEnding.DONE) {
			this.begun.begun(ended.task(), ended.run(), now);
		}
		if (run.stopWanted()) {
			return;
		}
		if (ended.ending() == WorkerEvent.CallEnding.DONE) {
			run.begun();
			this.lookSoon = true;
			return;
		}
		boolean again = ended.ending() == WorkerEvent.CallEnding.UNANSWERED && refusal(now, run.order()).isEmpty();
		if (again && run.mayTryAgain()) {
			sendStart(now, run);
			return;
		}
		run.why(ended.why());
		run.stopWanted(true);
		sendStop(run);
	}

	private void stopEnded(long now, WorkerEvent.StopEnded ended) {
		OrderedRun run = this.orders.get(key(ended.task(), ended.run()));
		if (run == null) {
			return;
		}
		run.stopOutstanding(false);
		if (ended.ending() == WorkerEvent.CallEnding.DONE) {
			run.stopAnsweredBefore(this.lastLook + 1);
			this.lookSoon = true;
			return;
		}
		run.retryStopAt(now + this.policy.lookPauseMillis());
	}

	// Progress is only told after a new look: an old list told again would make a task
	// that moves look as if it stood still.
	private void act(long now) {
		retryStops(now);
		look(now);
		if (!this.holder) {
			return;
		}
		if (now >= this.nextHeartbeat) {
			this.nextHeartbeat = now + this.policy.heartbeatMillis();
			this.commands.add(new WorkerCommand.SendHeartbeat(nextHeartbeat(now)));
		}
		boolean progress = !this.running.isEmpty() && this.lookedSinceReport && now >= this.nextProgress;
		if ((this.reportDue || progress) && this.description.isPresent() && workerAnswers(now)) {
			this.reportDue = false;
			this.lookedSinceReport = false;
			this.nextProgress = now + this.policy.progressMillis();
			this.commands.add(new WorkerCommand.SendReport(new WorkerReport(this.target, this.description.get(),
					this.obeyedEpoch, this.running, List.copyOf(this.ends.values()), this.crashes.runs(now))));
		}
	}

	// This process may live on beside a worker that is gone for good. A heartbeat that
	// vouched for the worker would keep its runs alive in the holder's eyes for ever;
	// without a number it only keeps the connection.
	private long nextHeartbeat(long now) {
		if (!workerAnswers(now)) {
			return WorkerCommand.SendHeartbeat.WORKER_SILENT;
		}
		this.heartbeats.put(++this.lastHeartbeat, now);
		this.heartbeats.keySet().removeIf((number) -> number <= this.lastHeartbeat - REMEMBERED_HEARTBEATS);
		return this.lastHeartbeat;
	}

	private boolean workerAnswers(long now) {
		return this.workerAnsweredAt != Long.MIN_VALUE && now - this.workerAnsweredAt <= WORKER_SILENCE_MILLIS;
	}

	private void retryStops(long now) {
		for (OrderedRun run : this.orders.values()) {
			if (run.stopWanted() && !run.stopOutstanding() && run.stopAnsweredBefore() == 0
					&& now >= run.retryStopAt()) {
				sendStop(run);
			}
		}
	}

	// One look waits at a busy worker for an end; another one goes beside it when
	// something has to be known or acknowledged at once. A worker that runs nothing
	// answers at once, so it is looked at now and then, and again as soon as it begins a
	// run: it may end or be stopped within the pause.
	private void look(long now) {
		boolean regular = this.outstandingLook == 0 && now >= this.nextLook;
		if (!regular && !this.lookSoon) {
			return;
		}
		boolean busy = !this.running.isEmpty();
		long wait = (regular && busy && !this.lookSoon) ? this.policy.lookWaitMillis() : 0;
		this.lookSoon = false;
		long number = ++this.lastLook;
		if (wait > 0) {
			this.outstandingLook = number;
			this.nextLook = now + this.policy.lookPauseMillis();
		}
		else if (regular) {
			this.nextLook = now + (busy ? 0 : this.policy.lookWaitMillis());
		}
		this.lookEpochs.put(number, this.epoch);
		this.commands.add(new WorkerCommand.Look(number, this.life, this.epoch, this.acknowledged,
				(this.life.startedAtMillis() != 0) ? leaseUntilByWorker(now) : 0, wait));
	}

	private void lookEnded(long look) {
		this.lookEpochs.remove(look);
		if (look == this.outstandingLook) {
			this.outstandingLook = 0;
		}
	}

	private long leaseUntilByWorker(long now) {
		if (now >= this.leaseUntil || this.clockReadAt == 0) {
			return 0;
		}
		long clock = this.clockMillis + (long) ((now - this.clockReadAt) * SLOWEST_CLOCK);
		return clock + (this.leaseUntil - now);
	}

	private boolean isListed(TaskId task, int run) {
		for (WorkerReport.Running one : this.running) {
			if (one.task().equals(task) && one.run() == run) {
				return true;
			}
		}
		return hasEnded(task, run);
	}

	private boolean hasEnded(TaskId task, int run) {
		for (WorkerReport.Ended end : this.ends.values()) {
			if (end.task().equals(task) && end.run() == run) {
				return true;
			}
		}
		return false;
	}

	private static boolean sameRuns(List<WorkerReport.Running> some, List<WorkerReport.Running> others) {
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

	private static String key(TaskId task, int run) {
		return task + "/" + run;
	}

}
