package org.almondmount.gang;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerId;
import org.almondmount.model.ZoneState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates one job on three workers, with a holder that fails at any step, two entries,
 * a network that loses, duplicates and delays messages, processes that pause and workers
 * that lose tasks. The test counts the tasks of the workers itself.
 */
class PartialGangProperties {

	private static final int MEMBER_COUNT = 3;

	private static final long HEARTBEAT_VALIDITY_MILLIS = 2_000;

	private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	/** The heartbeat timeout: no connection delays a message for longer. */
	private static final long MAX_DELAY_MILLIS = 2_500;

	private static final long MAX_CHECKPOINT_MILLIS = 1_000;

	private static final long TICK_MILLIS = 50;

	private static final MemberPolicy POLICY = MemberPolicy.DEFAULT.withCapacity(new Resources(1, 1, 1));

	// The longest time that a member runs alone after its gang was last fully running: an
	// entry uses a heartbeat for its validity, the heartbeat may have been in transit for
	// the maximum delay, the gang lease counts from the heartbeat that was answered, and
	// the task then takes a checkpoint.
	private static final long MAX_PARTIAL_MILLIS = MAX_DELAY_MILLIS + HEARTBEAT_VALIDITY_MILLIS
			+ POLICY.gangTimeout().toMillis() + MAX_CHECKPOINT_MILLIS + 6 * TICK_MILLIS;

	@Property(tries = 300, seed = "20261203")
	void noGangRunsPartiallyForLongerThanTheBound(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Simulation simulation = new Simulation(seed);
		for (int step = 0; step < 2_400; step++) {
			simulation.step();
		}
		assertThat(simulation.longestPartialMillis).isLessThanOrEqualTo(MAX_PARTIAL_MILLIS);
	}

	private static final class Simulation {

		private final Random random;

		private final List<Worker> workers = new ArrayList<>();

		private final List<RunningGangTracker> trackers = List.of(new RunningGangTracker(HEARTBEAT_VALIDITY_MILLIS),
				new RunningGangTracker(HEARTBEAT_VALIDITY_MILLIS));

		private final TreeMap<Long, List<Runnable>> scheduledActions = new TreeMap<>();

		private final Map<Attempt, Long> partialSince = new HashMap<>();

		private final JobSpec spec = new JobSpec(new CustomerId("anna"), "weigh",
				new GangShape(MEMBER_COUNT, new Resources(1, 1, 1), Adjacency.RACK), Urgency.NORMAL, true,
				Duration.ofHours(1), Duration.ofMinutes(1), "run");

		private final double faultRate;

		private Holder holder = new Holder(1, 1);

		private long now;

		private long longestPartialMillis;

		Simulation(long seed) {
			this.random = new Random(seed);
			double roll = this.random.nextDouble();
			this.faultRate = 0.4 * roll * roll * roll;
			for (int i = 0; i < MEMBER_COUNT; i++) {
				this.workers.add(new Worker(i));
			}
		}

		void step() {
			this.now += TICK_MILLIS;
			while (!this.scheduledActions.isEmpty() && this.scheduledActions.firstKey() <= this.now) {
				this.scheduledActions.pollFirstEntry().getValue().forEach(Runnable::run);
			}
			this.workers.forEach(Worker::step);
			if (this.random.nextDouble() < this.faultRate / 100) {
				this.holder = new Holder(this.holder.epoch + 1, this.holder.attempt.number() + 1);
			}
			this.holder.step();
			measurePartialGangs();
		}

		private void measurePartialGangs() {
			Map<Attempt, Integer> running = new HashMap<>();
			for (Worker worker : this.workers) {
				worker.taskLeaseEnds.keySet().forEach((attempt) -> running.merge(attempt, 1, Integer::sum));
			}
			this.partialSince.keySet().removeIf((attempt) -> running.getOrDefault(attempt, 0) % MEMBER_COUNT == 0);
			running.forEach((attempt, count) -> {
				if (count < MEMBER_COUNT) {
					long since = this.partialSince.computeIfAbsent(attempt, (key) -> this.now);
					this.longestPartialMillis = Math.max(this.longestPartialMillis, this.now - since);
				}
			});
		}

		private void sendOverNetwork(Runnable delivery) {
			if (this.random.nextDouble() < this.faultRate) {
				return;
			}
			int copies = (this.random.nextDouble() < this.faultRate) ? 2 : 1;
			for (int i = 0; i < copies; i++) {
				boolean late = this.random.nextDouble() < this.faultRate;
				schedule(this.random.nextInt(late ? (int) MAX_DELAY_MILLIS : 10), delivery);
			}
		}

		private void schedule(long millis, Runnable action) {
			this.scheduledActions.computeIfAbsent(this.now + millis, (at) -> new ArrayList<>()).add(action);
		}

		// Prepares the gang, starts it when all members are held, and starts the next
		// attempt when a member ends or the preparation takes too long. Its successor
		// knows only the number of the next attempt.
		private final class Holder {

			private final long epoch;

			private final Set<Integer> heldMembers = new HashSet<>();

			private Attempt attempt;

			private long attemptStartedAt;

			private boolean prepareSent;

			private boolean startSent;

			Holder(long epoch, int number) {
				this.epoch = epoch;
				this.attempt = new Attempt(new JobId("job"), number);
				this.attemptStartedAt = Simulation.this.now;
			}

			void step() {
				boolean pausing = Simulation.this.now < this.attemptStartedAt + 1_000;
				if (!this.prepareSent && !pausing) {
					this.prepareSent = true;
					sendOrder((member) -> new MemberEvent.PrepareReceived(this.epoch, this.attempt, member,
							Simulation.this.spec, false));
				}
				else if (!this.startSent && this.heldMembers.size() == MEMBER_COUNT) {
					this.startSent = true;
					sendOrder((member) -> new MemberEvent.StartReceived(this.epoch, this.attempt, member));
				}
				else if (!this.startSent && Simulation.this.now - this.attemptStartedAt > 3_000) {
					startNextAttempt();
				}
			}

			void handleReport(MemberCommand report) {
				if (report instanceof MemberCommand.ReportPrepared prepared
						&& prepared.attempt().equals(this.attempt)) {
					this.heldMembers.add(prepared.member());
				}
				else if (report instanceof MemberCommand.ReportRefused refused
						&& refused.attempt().equals(this.attempt)) {
					startNextAttempt();
				}
				else if (report instanceof MemberCommand.ReportEnded ended && ended.attempt().equals(this.attempt)) {
					startNextAttempt();
				}
			}

			private void startNextAttempt() {
				sendOrder((member) -> new MemberEvent.AbortReceived(this.epoch, this.attempt, member));
				this.attempt = new Attempt(this.attempt.job(), this.attempt.number() + 1);
				this.heldMembers.clear();
				this.prepareSent = false;
				this.startSent = false;
				this.attemptStartedAt = Simulation.this.now;
			}

			private void sendOrder(IntFunction<MemberEvent> event) {
				for (Worker worker : Simulation.this.workers) {
					sendOverNetwork(() -> worker.feed(event.apply(worker.number)));
				}
			}

		}

		private final class Worker {

			private final int number;

			private final WorkerId id;

			private final MemberManager manager = MemberManagerFactory.create(POLICY);

			/** The running tasks, with the end of the worker's own lease for each. */
			private final Map<Attempt, Long> taskLeaseEnds = new HashMap<>();

			private final List<Runnable> bufferedMessages = new ArrayList<>();

			private long frozenUntil;

			private long nextHeartbeatAt;

			Worker(int number) {
				this.number = number;
				this.id = new WorkerId("w" + number);
			}

			void step() {
				new ArrayList<>(this.taskLeaseEnds.entrySet()).forEach((task) -> {
					if (task.getValue() <= Simulation.this.now) {
						endTask(task.getKey(), JobOutcome.STOPPED);
					}
				});
				if (Simulation.this.random.nextDouble() < Simulation.this.faultRate / 200
						&& !this.taskLeaseEnds.isEmpty()) {
					endTask(this.taskLeaseEnds.keySet().iterator().next(), JobOutcome.WORKER_FAILED);
				}
				if (Simulation.this.random.nextDouble() < Simulation.this.faultRate / 100) {
					this.frozenUntil = Simulation.this.now + Simulation.this.random.nextInt(15_000);
				}
				if (Simulation.this.now < this.frozenUntil) {
					return;
				}
				List<Runnable> waiting = new ArrayList<>(this.bufferedMessages);
				this.bufferedMessages.clear();
				waiting.forEach(Runnable::run);
				feed(new MemberEvent.ZoneStateReceived(ZoneState.IN, 1, 3_000));
				if (Simulation.this.now >= this.nextHeartbeatAt) {
					this.nextHeartbeatAt = Simulation.this.now + HEARTBEAT_INTERVAL_MILLIS;
					sendHeartbeat();
				}
			}

			void feed(MemberEvent event) {
				if (Simulation.this.now < this.frozenUntil) {
					this.bufferedMessages.add(() -> feed(event));
					return;
				}
				this.manager.handle(Simulation.this.now, event).forEach(this::execute);
			}

			private void sendHeartbeat() {
				long sentAt = Simulation.this.now;
				List<HeldMember> held = this.manager.heldMembers();
				for (RunningGangTracker tracker : Simulation.this.trackers) {
					sendOverNetwork(() -> {
						tracker.recordHeartbeat(Simulation.this.now, this.id, held);
						List<Attempt> fullyRunning = tracker.fullyRunningAttempts(Simulation.this.now, this.id);
						sendOverNetwork(() -> fullyRunning.forEach((attempt) -> handleReply(attempt, sentAt)));
					});
				}
			}

			private void handleReply(Attempt attempt, long sentAt) {
				if (Simulation.this.now < this.frozenUntil) {
					this.bufferedMessages.add(() -> handleReply(attempt, sentAt));
					return;
				}
				feed(new MemberEvent.GangConfirmedRunning(attempt, Simulation.this.now - sentAt));
			}

			private void execute(MemberCommand command) {
				long lease = POLICY.taskLease().toMillis();
				if (command instanceof MemberCommand.StartTask start) {
					schedule(Simulation.this.random.nextInt(100), () -> {
						this.taskLeaseEnds.put(start.attempt(), Simulation.this.now + lease);
						feed(new MemberEvent.TaskRunning(start.attempt(), this.number));
					});
				}
				else if (command instanceof MemberCommand.RenewTask renew) {
					this.taskLeaseEnds.computeIfPresent(renew.attempt(), (key, until) -> Simulation.this.now + lease);
				}
				else if (command instanceof MemberCommand.SuspendTask suspend) {
					schedule(Simulation.this.random.nextInt((int) MAX_CHECKPOINT_MILLIS),
							() -> endTask(suspend.attempt(), JobOutcome.SUSPENDED));
				}
				else if (command instanceof MemberCommand.StopTask stop) {
					endTask(stop.attempt(), JobOutcome.STOPPED);
				}
				else {
					sendOverNetwork(() -> Simulation.this.holder.handleReport(command));
				}
			}

			private void endTask(Attempt attempt, JobOutcome outcome) {
				if (this.taskLeaseEnds.remove(attempt) != null) {
					schedule(0, () -> feed(new MemberEvent.TaskEnded(attempt, this.number, outcome)));
				}
			}

		}

	}

}
