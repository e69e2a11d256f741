package org.almondmount.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.model.RunState;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;
import org.almondmount.requests.RequestEvent.AnswerKind;
import org.almondmount.slots.SlotCommand;
import org.almondmount.slots.SlotEvent;
import org.almondmount.slots.SlotGate;
import org.almondmount.slots.SlotGateFactory;
import org.almondmount.slots.SlotPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates two entries and three targets over a network that loses, delays, reorders and
 * duplicates messages and drops connections. The instances count the starts of requests
 * independently of attempts, tombstones and loans.
 */
class RequestOutcomeProperties {

	private static final int TRIES = 400;

	private static final int STEP_COUNT = 1_500;

	private static final int SLOT_COUNT = 3;

	// Guards against wrong outcomes: a caller gets at most one outcome, a request that is
	// reported as not run never starts, and a request that is not idempotent starts at
	// most once. Messages are lost, duplicated and delayed by up to five seconds in any
	// order. Connections break at one end before the other, because either end may notice
	// first.
	@Property(tries = TRIES, seed = "20261202")
	void outcomesAreAccurateUnderNetworkFaults(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Simulation simulation = new Simulation(seed);
		for (int step = 0; step < STEP_COUNT; step++) {
			simulation.step();
		}
		simulation.runUntilDeadlinesPass();
		simulation.assertOutcomes();
	}

	private static final class Simulation {

		private final Random random;

		private final List<Entry> entries = new ArrayList<>();

		private final List<Target> targets = new ArrayList<>();

		private final TreeMap<Long, List<Runnable>> scheduled = new TreeMap<>();

		private final Map<RequestId, Integer> starts = new HashMap<>();

		private final Set<RequestId> nonIdempotent = new HashSet<>();

		private final Set<RequestId> notRun = new HashSet<>();

		private final Set<RequestId> ended = new HashSet<>();

		private final Set<RequestId> all = new HashSet<>();

		private final double faultRate;

		private long now = 1;

		Simulation(long seed) {
			this.random = new Random(seed);
			this.faultRate = this.random.nextDouble() * 0.3;
			for (int i = 0; i < 3; i++) {
				this.targets.add(new Target(i));
			}
			for (int i = 0; i < 2; i++) {
				this.entries.add(new Entry(i));
			}
			for (Entry entry : this.entries) {
				this.targets.forEach((target) -> connect(entry, target));
			}
		}

		void step() {
			this.now += this.random.nextInt(20);
			runDue();
			Entry entry = this.entries.get(this.random.nextInt(2));
			double roll = this.random.nextDouble();
			if (roll < 0.3) {
				arrive(entry);
			}
			else if (roll < 0.3 + this.faultRate / 10) {
				breakConnection(entry, this.targets.get(this.random.nextInt(3)));
			}
			else {
				this.entries.forEach((each) -> each.handle(new RequestEvent.Tick()));
				this.targets.forEach((each) -> each.handle(new SlotEvent.Tick()));
			}
		}

		void runUntilDeadlinesPass() {
			for (int i = 0; i < 400; i++) {
				this.now += 50;
				runDue();
				this.entries.forEach((each) -> each.handle(new RequestEvent.Tick()));
			}
		}

		void assertOutcomes() {
			for (Map.Entry<RequestId, Integer> start : this.starts.entrySet()) {
				if (this.nonIdempotent.contains(start.getKey())) {
					assertThat(start.getValue()).as("starts of %s", start.getKey()).isOne();
				}
				assertThat(this.notRun).doesNotContain(start.getKey());
			}
			assertThat(this.ended).isEqualTo(this.all);
			this.entries.forEach((entry) -> assertThat(entry.router.outstandingCount()).isZero());
		}

		private void arrive(Entry entry) {
			RequestId request = new RequestId("r" + this.all.size());
			this.all.add(request);
			boolean idempotent = this.random.nextInt(3) == 0;
			if (!idempotent) {
				this.nonIdempotent.add(request);
			}
			entry.handle(new RequestEvent.Arrived(request, new CustomerId("c" + this.random.nextInt(2)), idempotent,
					Optional.empty(), this.now + 200 + this.random.nextInt(3_000)));
		}

		// Each end notices the loss independently. The target then joins again on a new
		// connection. Messages still in transit on the old connection are delivered to
		// the target but not to the entry.
		private void breakConnection(Entry entry, Target target) {
			entry.connectionNumbers.merge(target.id, 1, Integer::sum);
			entry.handle(new RequestEvent.TargetLost(target.id));
			schedule(this.random.nextInt(500), () -> target.handle(new SlotEvent.EntryLost(entry.id)));
			schedule(500 + this.random.nextInt(500), () -> connect(entry, target));
		}

		private void connect(Entry entry, Target target) {
			entry.handle(new RequestEvent.TargetJoined(target.id, target.zone, 0));
			target.loanCounts.remove(entry.id);
			target.handle(new SlotEvent.EntryJoined(entry.id));
		}

		private void transmit(Runnable delivery) {
			if (this.random.nextDouble() < this.faultRate / 3) {
				return;
			}
			int copies = (this.random.nextDouble() < this.faultRate) ? 2 : 1;
			for (int i = 0; i < copies; i++) {
				boolean late = this.random.nextDouble() < this.faultRate;
				schedule(this.random.nextInt(late ? 5_000 : 5), delivery);
			}
		}

		private void schedule(long millis, Runnable action) {
			this.scheduled.computeIfAbsent(this.now + millis, (at) -> new ArrayList<>()).add(action);
		}

		private void runDue() {
			while (!this.scheduled.isEmpty() && this.scheduled.firstKey() <= this.now) {
				this.scheduled.pollFirstEntry().getValue().forEach(Runnable::run);
			}
		}

		private Target target(TargetId id) {
			return this.targets.stream().filter((target) -> target.id.equals(id)).findFirst().orElseThrow();
		}

		private Entry entry(EntryId id) {
			return this.entries.stream().filter((entry) -> entry.id.equals(id)).findFirst().orElseThrow();
		}

		private final class Entry {

			private final EntryId id;

			private final RequestRouter router;

			private final Map<TargetId, Integer> connectionNumbers = new HashMap<>();

			Entry(int number) {
				this.id = new EntryId("e" + number);
				this.router = RequestRouterFactory.create(RequestPolicy.DEFAULT, Simulation.this.random);
				handle(new RequestEvent.ConfigurationChanged(Configuration.EMPTY.withRevision(1)
					.withCustomer(new Customer(new CustomerId("c0"), 1, List.of()))
					.withCustomer(new Customer(new CustomerId("c1"), 3, List.of()))));
			}

			void handle(RequestEvent event) {
				this.router.handle(Simulation.this.now, event).forEach(this::execute);
			}

			private void receive(TargetId from, int connectionNumber, RequestEvent event) {
				if (this.connectionNumbers.getOrDefault(from, 0) == connectionNumber) {
					handle(event);
				}
			}

			private void execute(RequestCommand command) {
				if (command instanceof RequestCommand.Send send) {
					if (Simulation.this.random.nextDouble() < Simulation.this.faultRate / 10) {
						handle(new RequestEvent.NotSent(send.request(), send.attempt(), send.target()));
						return;
					}
					Target target = target(send.target());
					int connectionNumber = this.connectionNumbers.getOrDefault(target.id, 0);
					transmit(() -> target.call(this, connectionNumber, send));
				}
				else if (command instanceof RequestCommand.CancelAttempt cancel) {
					transmit(() -> target(cancel.target())
						.handle(new SlotEvent.CallCancelled(this.id, cancel.request(), cancel.attempt())));
				}
				else if (command instanceof RequestCommand.Deliver deliver) {
					end(deliver.request());
				}
				else if (command instanceof RequestCommand.Refuse refuse) {
					end(refuse.request());
					if (refuse.refusal().runState() == RunState.NOT_RUN) {
						Simulation.this.notRun.add(refuse.request());
					}
				}
			}

			private void end(RequestId request) {
				assertThat(Simulation.this.ended.add(request)).as("first outcome of %s", request).isTrue();
			}

		}

		private final class Target {

			private final TargetId id;

			private final ZoneId zone;

			private final SlotGate gate = SlotGateFactory.create(SlotPolicy.DEFAULT.withSlots(SLOT_COUNT));

			private final Map<String, Integer> connectionByAttempt = new HashMap<>();

			private final Map<EntryId, Integer> loanCounts = new HashMap<>();

			private int runningCount;

			Target(int number) {
				this.id = new TargetId("t" + number);
				this.zone = new ZoneId("z" + number % 2);
			}

			void call(Entry entry, int connectionNumber, RequestCommand.Send send) {
				this.connectionByAttempt.put(entry.id + "/" + send.request() + "/" + send.attempt(), connectionNumber);
				handle(new SlotEvent.CallReceived(entry.id, send.request(), send.attempt(), send.deadlineMillis()));
			}

			void handle(SlotEvent event) {
				this.gate.handle(Simulation.this.now, event).forEach(this::execute);
			}

			private void execute(SlotCommand command) {
				if (command instanceof SlotCommand.Run run) {
					runOnInstance(run);
				}
				else if (command instanceof SlotCommand.LendSlots lend) {
					transmit(() -> entry(lend.entry())
						.handle(new RequestEvent.TargetSlotsChanged(this.id, lend.slots())));
					int loanCount = this.loanCounts.merge(lend.entry(), 1, Integer::sum);
					schedule(20, () -> handle(new SlotEvent.LoanConfirmed(lend.entry(), loanCount)));
				}
				else if (command instanceof SlotCommand.Answer answer) {
					reply(answer.entry(), answer.request(), answer.attempt(),
							new RequestEvent.Answered(answer.request(), answer.attempt(), this.id, AnswerKind.HEALTHY));
				}
				else if (command instanceof SlotCommand.RefuseNotStarted refuse) {
					reply(refuse.entry(), refuse.request(), refuse.attempt(),
							new RequestEvent.NotStarted(refuse.request(), refuse.attempt(), this.id, refuse.reason()));
				}
				else if (command instanceof SlotCommand.AnswerBroken broken) {
					reply(broken.entry(), broken.request(), broken.attempt(),
							new RequestEvent.Broken(broken.request(), broken.attempt(), this.id, broken.reason()));
				}
			}

			private void reply(EntryId entry, RequestId request, int attempt, RequestEvent event) {
				int connectionNumber = this.connectionByAttempt.get(entry + "/" + request + "/" + attempt);
				transmit(() -> entry(entry).receive(this.id, connectionNumber, event));
			}

			// Simulates the instance: counts the starts of each request and the running
			// attempts.
			private void runOnInstance(SlotCommand.Run run) {
				boolean refusesConnection = Simulation.this.random.nextDouble() < Simulation.this.faultRate / 5;
				if (refusesConnection) {
					schedule(1, () -> handle(new SlotEvent.CallBroken(run.request(), run.attempt(), false, "refused")));
					return;
				}
				Simulation.this.starts.merge(run.request(), 1, Integer::sum);
				this.runningCount++;
				assertThat(this.runningCount).isLessThanOrEqualTo(SLOT_COUNT);
				boolean breaks = Simulation.this.random.nextDouble() < Simulation.this.faultRate / 5;
				schedule(1 + Simulation.this.random.nextInt(60), () -> {
					this.runningCount--;
					handle(breaks ? new SlotEvent.CallBroken(run.request(), run.attempt(), true, "cut")
							: new SlotEvent.CallEnded(run.request(), run.attempt()));
				});
			}

		}

	}

}
