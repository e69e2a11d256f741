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
 * One job on three workers with a holder that dies at any step, two entries, a network
 * that loses, doubles and delays messages, processes that freeze and workers that lose
 * tasks. The workers' tasks are counted by the test itself.
 */
class PartialGangProperties {

	private static final int MEMBERS = 3;

	private static final long HEARD_BOUND = 2_000;

	private static final long HEARTBEAT = 500;

	/** The heartbeat timeout: no connection holds a message back for longer. */
	private static final long LONGEST_DELAY = 2_500;

	private static final long CHECKPOINT = 1_000;

	private static final long TICK = 50;

	private static final MemberPolicy POLICY = MemberPolicy.DEFAULT.withCapacity(new Resources(1, 1, 1));

	// A member that is alone ran at most that long after it was last part of a whole
	// gang: an entry believes heartbeats for its bound, they may have been on the way for
	// the longest delay, the gang lease runs from the heartbeat that was answered, and
	// then the task checkpoints.
	private static final long BOUND = LONGEST_DELAY + HEARD_BOUND + POLICY.gangTimeout().toMillis() + CHECKPOINT
			+ 6 * TICK;

	@Property(tries = 300, seed = "20261203")
	void noGangRunsPartiallyForLongerThanTheBound(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		World world = new World(seed);
		for (int step = 0; step < 2_400; step++) {
			world.step();
		}
		assertThat(world.longestPartial).isLessThanOrEqualTo(BOUND);
	}

	private static final class World {

		private final Random random;

		private final List<Worker> workers = new ArrayList<>();

		private final List<WholenessTracker> entries = List.of(new WholenessTracker(HEARD_BOUND),
				new WholenessTracker(HEARD_BOUND));

		private final TreeMap<Long, List<Runnable>> later = new TreeMap<>();

		private final Map<Attempt, Long> partialSince = new HashMap<>();

		private final JobSpec spec = new JobSpec(new CustomerId("anna"), "weigh",
				new GangShape(MEMBERS, new Resources(1, 1, 1), Adjacency.RACK), Urgency.NORMAL, true,
				Duration.ofHours(1), Duration.ofMinutes(1), "run");

		private final double trouble;

		private Holder holder = new Holder(1, 1);

		private long now;

		private long longestPartial;

		World(long seed) {
			this.random = new Random(seed);
			double dice = this.random.nextDouble();
			this.trouble = 0.4 * dice * dice * dice;
			for (int i = 0; i < MEMBERS; i++) {
				this.workers.add(new Worker(i));
			}
		}

		void step() {
			this.now += TICK;
			while (!this.later.isEmpty() && this.later.firstKey() <= this.now) {
				this.later.pollFirstEntry().getValue().forEach(Runnable::run);
			}
			this.workers.forEach(Worker::step);
			if (this.random.nextDouble() < this.trouble / 100) {
				this.holder = new Holder(this.holder.epoch + 1, this.holder.attempt.number() + 1);
			}
			this.holder.step();
			measure();
		}

		private void measure() {
			Map<Attempt, Integer> running = new HashMap<>();
			for (Worker worker : this.workers) {
				worker.tasks.keySet().forEach((attempt) -> running.merge(attempt, 1, Integer::sum));
			}
			this.partialSince.keySet().removeIf((attempt) -> running.getOrDefault(attempt, 0) % MEMBERS == 0);
			running.forEach((attempt, count) -> {
				if (count < MEMBERS) {
					long since = this.partialSince.computeIfAbsent(attempt, (key) -> this.now);
					this.longestPartial = Math.max(this.longestPartial, this.now - since);
				}
			});
		}

		private void network(Runnable delivery) {
			if (this.random.nextDouble() < this.trouble) {
				return;
			}
			int copies = (this.random.nextDouble() < this.trouble) ? 2 : 1;
			for (int i = 0; i < copies; i++) {
				boolean late = this.random.nextDouble() < this.trouble;
				in(this.random.nextInt(late ? (int) LONGEST_DELAY : 10), delivery);
			}
		}

		private void in(long millis, Runnable action) {
			this.later.computeIfAbsent(this.now + millis, (at) -> new ArrayList<>()).add(action);
		}

		// Prepares, starts when all are held, and begins anew when anything ends or takes
		// too long; its successor knows nothing but the next attempt's number.
		private final class Holder {

			private final long epoch;

			private final Set<Integer> held = new HashSet<>();

			private Attempt attempt;

			private long since;

			private boolean asked;

			private boolean started;

			Holder(long epoch, int number) {
				this.epoch = epoch;
				this.attempt = new Attempt(new JobId("job"), number);
				this.since = World.this.now;
			}

			void step() {
				boolean pause = World.this.now < this.since + 1_000;
				if (!this.asked && !pause) {
					this.asked = true;
					order((member) -> new MemberEvent.PrepareReceived(this.epoch, this.attempt, member, World.this.spec,
							false));
				}
				else if (!this.started && this.held.size() == MEMBERS) {
					this.started = true;
					order((member) -> new MemberEvent.StartReceived(this.epoch, this.attempt, member));
				}
				else if (!this.started && World.this.now - this.since > 3_000) {
					again();
				}
			}

			void heard(MemberCommand report) {
				if (report instanceof MemberCommand.ReportPrepared prepared
						&& prepared.attempt().equals(this.attempt)) {
					this.held.add(prepared.member());
				}
				else if (report instanceof MemberCommand.ReportRefused refused
						&& refused.attempt().equals(this.attempt)) {
					again();
				}
				else if (report instanceof MemberCommand.ReportEnded ended && ended.attempt().equals(this.attempt)) {
					again();
				}
			}

			private void again() {
				order((member) -> new MemberEvent.AbortReceived(this.epoch, this.attempt, member));
				this.attempt = new Attempt(this.attempt.job(), this.attempt.number() + 1);
				this.held.clear();
				this.asked = false;
				this.started = false;
				this.since = World.this.now;
			}

			private void order(IntFunction<MemberEvent> event) {
				for (Worker worker : World.this.workers) {
					network(() -> worker.on(event.apply(worker.number)));
				}
			}

		}

		private final class Worker {

			private final int number;

			private final WorkerId id;

			private final MemberKeeper keeper = MemberKeeperFactory.create(POLICY);

			/** Running tasks with the end of the worker's own lease. */
			private final Map<Attempt, Long> tasks = new HashMap<>();

			private final List<Runnable> socket = new ArrayList<>();

			private long frozenUntil;

			private long beatAt;

			Worker(int number) {
				this.number = number;
				this.id = new WorkerId("w" + number);
			}

			void step() {
				new ArrayList<>(this.tasks.entrySet()).forEach((task) -> {
					if (task.getValue() <= World.this.now) {
						end(task.getKey(), JobOutcome.STOPPED);
					}
				});
				if (World.this.random.nextDouble() < World.this.trouble / 200 && !this.tasks.isEmpty()) {
					end(this.tasks.keySet().iterator().next(), JobOutcome.WORKER_FAILED);
				}
				if (World.this.random.nextDouble() < World.this.trouble / 100) {
					this.frozenUntil = World.this.now + World.this.random.nextInt(15_000);
				}
				if (World.this.now < this.frozenUntil) {
					return;
				}
				List<Runnable> waiting = new ArrayList<>(this.socket);
				this.socket.clear();
				waiting.forEach(Runnable::run);
				on(new MemberEvent.ZoneHeard(ZoneState.IN, 1, 3_000));
				if (World.this.now >= this.beatAt) {
					this.beatAt = World.this.now + HEARTBEAT;
					beat();
				}
			}

			void on(MemberEvent event) {
				if (World.this.now < this.frozenUntil) {
					this.socket.add(() -> on(event));
					return;
				}
				this.keeper.handle(World.this.now, event).forEach(this::carryOut);
			}

			private void beat() {
				long sentAt = World.this.now;
				List<HeldMember> held = this.keeper.held();
				for (WholenessTracker entry : World.this.entries) {
					network(() -> {
						entry.heard(World.this.now, this.id, held);
						List<Attempt> whole = entry.wholeAttempts(World.this.now, this.id);
						network(() -> whole.forEach((attempt) -> reply(attempt, sentAt)));
					});
				}
			}

			private void reply(Attempt attempt, long sentAt) {
				if (World.this.now < this.frozenUntil) {
					this.socket.add(() -> reply(attempt, sentAt));
					return;
				}
				on(new MemberEvent.WholeHeard(attempt, World.this.now - sentAt));
			}

			private void carryOut(MemberCommand command) {
				long lease = POLICY.taskLease().toMillis();
				if (command instanceof MemberCommand.StartTask start) {
					in(World.this.random.nextInt(100), () -> {
						this.tasks.put(start.attempt(), World.this.now + lease);
						on(new MemberEvent.TaskRunning(start.attempt(), this.number));
					});
				}
				else if (command instanceof MemberCommand.RenewTask renew) {
					this.tasks.computeIfPresent(renew.attempt(), (key, until) -> World.this.now + lease);
				}
				else if (command instanceof MemberCommand.SuspendTask suspend) {
					in(World.this.random.nextInt((int) CHECKPOINT), () -> end(suspend.attempt(), JobOutcome.SUSPENDED));
				}
				else if (command instanceof MemberCommand.StopTask stop) {
					end(stop.attempt(), JobOutcome.STOPPED);
				}
				else {
					network(() -> World.this.holder.heard(command));
				}
			}

			private void end(Attempt attempt, JobOutcome ending) {
				if (this.tasks.remove(attempt) != null) {
					in(0, () -> on(new MemberEvent.TaskEnded(attempt, this.number, ending)));
				}
			}

		}

	}

}
