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
 * Two entries and three targets over a network that loses, delays, reorders and doubles
 * messages and loses connections. The instances count starts by themselves and know
 * nothing of attempts, tombstones or loans.
 */
class RequestEndingsProperties {

	private static final int TRIES = 400;

	private static final int STEPS = 1_500;

	private static final int SLOTS = 3;

	// Caller: hears one ending at most; after "not run" its request never starts; without
	// leave to repeat it starts once at most. Messages are lost, doubled and delayed by
	// up to five seconds in any order, and connections break at one end before the other,
	// because either end may notice first.
	@Property(tries = TRIES, seed = "20261202")
	void endingsAreTrueWhateverTheNetworkDoes(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		World world = new World(seed);
		for (int step = 0; step < STEPS; step++) {
			world.step();
		}
		world.settle();
		world.check();
	}

	private static final class World {

		private final Random random;

		private final List<Entry> entries = new ArrayList<>();

		private final List<Target> targets = new ArrayList<>();

		private final TreeMap<Long, List<Runnable>> later = new TreeMap<>();

		private final Map<RequestId, Integer> starts = new HashMap<>();

		private final Set<RequestId> once = new HashSet<>();

		private final Set<RequestId> notRun = new HashSet<>();

		private final Set<RequestId> ended = new HashSet<>();

		private final Set<RequestId> all = new HashSet<>();

		private final double trouble;

		private long now = 1;

		World(long seed) {
			this.random = new Random(seed);
			this.trouble = this.random.nextDouble() * 0.3;
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
			double dice = this.random.nextDouble();
			if (dice < 0.3) {
				arrive(entry);
			}
			else if (dice < 0.3 + this.trouble / 10) {
				breakConnection(entry, this.targets.get(this.random.nextInt(3)));
			}
			else {
				this.entries.forEach((each) -> each.on(new RequestEvent.TimePassed()));
				this.targets.forEach((each) -> each.on(new SlotEvent.TimePassed()));
			}
		}

		void settle() {
			for (int i = 0; i < 400; i++) {
				this.now += 50;
				runDue();
				this.entries.forEach((each) -> each.on(new RequestEvent.TimePassed()));
			}
		}

		void check() {
			for (Map.Entry<RequestId, Integer> start : this.starts.entrySet()) {
				if (this.once.contains(start.getKey())) {
					assertThat(start.getValue()).as("starts of %s", start.getKey()).isOne();
				}
				assertThat(this.notRun).doesNotContain(start.getKey());
			}
			assertThat(this.ended).isEqualTo(this.all);
			this.entries.forEach((entry) -> assertThat(entry.router.outstanding()).isZero());
		}

		private void arrive(Entry entry) {
			RequestId request = new RequestId("r" + this.all.size());
			this.all.add(request);
			boolean idempotent = this.random.nextInt(3) == 0;
			if (!idempotent) {
				this.once.add(request);
			}
			entry.on(new RequestEvent.Arrived(request, new CustomerId("c" + this.random.nextInt(2)), idempotent,
					Optional.empty(), this.now + 200 + this.random.nextInt(3_000)));
		}

		// Each end notices on its own. The target is heard again under a new connection;
		// what the old one still brings to the target is passed on, what it brings to the
		// entry is not.
		private void breakConnection(Entry entry, Target target) {
			entry.connection.merge(target.id, 1, Integer::sum);
			entry.on(new RequestEvent.TargetLost(target.id));
			in(this.random.nextInt(500), () -> target.on(new SlotEvent.EntryLost(entry.id)));
			in(500 + this.random.nextInt(500), () -> connect(entry, target));
		}

		private void connect(Entry entry, Target target) {
			entry.on(new RequestEvent.TargetJoined(target.id, target.zone, 0));
			target.loans.remove(entry.id);
			target.on(new SlotEvent.EntryJoined(entry.id));
		}

		private void network(Runnable delivery) {
			if (this.random.nextDouble() < this.trouble / 3) {
				return;
			}
			int copies = (this.random.nextDouble() < this.trouble) ? 2 : 1;
			for (int i = 0; i < copies; i++) {
				boolean late = this.random.nextDouble() < this.trouble;
				in(this.random.nextInt(late ? 5_000 : 5), delivery);
			}
		}

		private void in(long millis, Runnable action) {
			this.later.computeIfAbsent(this.now + millis, (at) -> new ArrayList<>()).add(action);
		}

		private void runDue() {
			while (!this.later.isEmpty() && this.later.firstKey() <= this.now) {
				this.later.pollFirstEntry().getValue().forEach(Runnable::run);
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

			private final Map<TargetId, Integer> connection = new HashMap<>();

			Entry(int number) {
				this.id = new EntryId("e" + number);
				this.router = RequestRouterFactory.create(RequestPolicy.DEFAULT, World.this.random);
				on(new RequestEvent.ConfigurationChanged(Configuration.EMPTY.withRevision(1)
					.withCustomer(new Customer(new CustomerId("c0"), 1, List.of()))
					.withCustomer(new Customer(new CustomerId("c1"), 3, List.of()))));
			}

			void on(RequestEvent event) {
				this.router.handle(World.this.now, event).forEach(this::carryOut);
			}

			private void hear(TargetId from, int overConnection, RequestEvent event) {
				if (this.connection.getOrDefault(from, 0) == overConnection) {
					on(event);
				}
			}

			private void carryOut(RequestCommand command) {
				if (command instanceof RequestCommand.Send send) {
					if (World.this.random.nextDouble() < World.this.trouble / 10) {
						on(new RequestEvent.NotSent(send.request(), send.attempt(), send.target()));
						return;
					}
					Target target = target(send.target());
					int over = this.connection.getOrDefault(target.id, 0);
					network(() -> target.call(this, over, send));
				}
				else if (command instanceof RequestCommand.CancelAttempt cancel) {
					network(() -> target(cancel.target())
						.on(new SlotEvent.CallCancelled(this.id, cancel.request(), cancel.attempt())));
				}
				else if (command instanceof RequestCommand.Deliver deliver) {
					end(deliver.request());
				}
				else if (command instanceof RequestCommand.Refuse refuse) {
					end(refuse.request());
					if (refuse.refusal().ran() == RunState.NOT_RUN) {
						World.this.notRun.add(refuse.request());
					}
				}
			}

			private void end(RequestId request) {
				assertThat(World.this.ended.add(request)).as("first ending of %s", request).isTrue();
			}

		}

		private final class Target {

			private final TargetId id;

			private final ZoneId zone;

			private final SlotGate gate = SlotGateFactory.create(SlotPolicy.DEFAULT.withSlots(SLOTS));

			private final Map<String, Integer> over = new HashMap<>();

			private final Map<EntryId, Integer> loans = new HashMap<>();

			private int working;

			Target(int number) {
				this.id = new TargetId("t" + number);
				this.zone = new ZoneId("z" + number % 2);
			}

			void call(Entry entry, int overConnection, RequestCommand.Send send) {
				this.over.put(entry.id + "/" + send.request() + "/" + send.attempt(), overConnection);
				on(new SlotEvent.CallReceived(entry.id, send.request(), send.attempt(), send.deadlineMillis()));
			}

			void on(SlotEvent event) {
				this.gate.handle(World.this.now, event).forEach(this::carryOut);
			}

			private void carryOut(SlotCommand command) {
				if (command instanceof SlotCommand.Run run) {
					instance(run);
				}
				else if (command instanceof SlotCommand.LendSlots lend) {
					network(() -> entry(lend.entry()).on(new RequestEvent.TargetSlots(this.id, lend.slots())));
					int loans = this.loans.merge(lend.entry(), 1, Integer::sum);
					in(20, () -> on(new SlotEvent.LoanSeen(lend.entry(), loans)));
				}
				else if (command instanceof SlotCommand.Answer answer) {
					tell(answer.entry(), answer.request(), answer.attempt(),
							new RequestEvent.Answered(answer.request(), answer.attempt(), this.id, AnswerKind.HEALTHY));
				}
				else if (command instanceof SlotCommand.RefuseNotStarted refuse) {
					tell(refuse.entry(), refuse.request(), refuse.attempt(),
							new RequestEvent.NotStarted(refuse.request(), refuse.attempt(), this.id, refuse.why()));
				}
				else if (command instanceof SlotCommand.AnswerBroken broken) {
					tell(broken.entry(), broken.request(), broken.attempt(),
							new RequestEvent.Broken(broken.request(), broken.attempt(), this.id, broken.why()));
				}
			}

			private void tell(EntryId entry, RequestId request, int attempt, RequestEvent event) {
				int overConnection = this.over.get(entry + "/" + request + "/" + attempt);
				network(() -> entry(entry).hear(this.id, overConnection, event));
			}

			// The instance: counts starts and what it works on.
			private void instance(SlotCommand.Run run) {
				boolean refusesConnection = World.this.random.nextDouble() < World.this.trouble / 5;
				if (refusesConnection) {
					in(1, () -> on(new SlotEvent.CallBroken(run.request(), run.attempt(), false, "refused")));
					return;
				}
				World.this.starts.merge(run.request(), 1, Integer::sum);
				this.working++;
				assertThat(this.working).isLessThanOrEqualTo(SLOTS);
				boolean breaks = World.this.random.nextDouble() < World.this.trouble / 5;
				in(1 + World.this.random.nextInt(60), () -> {
					this.working--;
					on(breaks ? new SlotEvent.CallBroken(run.request(), run.attempt(), true, "cut")
							: new SlotEvent.CallEnded(run.request(), run.attempt()));
				});
			}

		}

	}

}
