package org.almondmount.fleet.sim;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.codahale.metrics.Timer;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.fleet.entry.FleetEntry;
import org.almondmount.fleet.target.FleetTarget;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.term.TermRow;
import org.almondmount.workflow.Checkpointing;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.Workflow;

/**
 * A small installation under a virtual clock.
 */
final class FleetWorld {

	private static final EventLog LOG = EventLog.of(FleetWorld.class);

	static final ResourceAmount CAPACITY = new ResourceAmount(32_000, 128_000, 8);

	private static final long ANNOUNCE_MILLIS = 1_500;

	/** After its end a process begins anew. */
	static final long RESTART_MILLIS = 600;

	/** The time that callers give to a cancel, in milliseconds. */
	private static final long CANCEL_MILLIS = 2_000;

	/** The time that callers give to a question, in milliseconds. */
	private static final long ASK_MILLIS = 2_000;

	/** The time that callers give, in milliseconds. */
	private static final OptionalLong PATIENCE = OptionalLong.of(2_500);

	static final String TABLE = "op";

	static final String ZONE_OUT = "out/";

	/** What a task that crashes its worker would run beyond that. */
	private static final long CRASHING_RUNS_MILLIS = 2_000;

	private static final Duration LEASE = Duration.ofSeconds(6);

	/** Longer than any test but those of removal asks for a job. */
	static final Duration STATUS = Duration.ofMinutes(5);

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final Checker checker = new Checker(this.time);

	private final SimStore store;

	private final SimWire wire = new SimWire(this.time);

	private final Map<String, EntryProcess> entries = new LinkedHashMap<>();

	private final Map<String, TargetProcess> targets = new LinkedHashMap<>();

	private final Map<String, JobPhase> seen = new LinkedHashMap<>();

	private final Set<String> accepted = new LinkedHashSet<>();

	private final Set<String> zonesOut = new HashSet<>();

	private long roundMillis;

	FleetWorld(long seed, int entryCount, int workerCount) {
		this.random = new Random(seed);
		this.store = new SimStore(this.time, this.random);
		this.store.put(TABLE, "config", "1");
		for (int i = 0; i < entryCount; i++) {
			String name = "entry-" + i;
			this.entries.put(name, new EntryProcess(name, 9_000 + i));
		}
		for (int i = 0; i < workerCount; i++) {
			String name = "target-" + i;
			SimWorker worker = new SimWorker(this.time, this.random, this.checker, "worker-" + i, "zone-" + i % 3,
					"r1-" + i / 3, CAPACITY);
			this.targets.put(name, new TargetProcess(name, worker));
		}
		this.entries.values().forEach((entry) -> this.time.after(this.random.nextInt(300), entry::start));
		this.targets.values().forEach((target) -> this.time.after(this.random.nextInt(300), target::start));
	}

	Random random() {
		return this.random;
	}

	VirtualTime time() {
		return this.time;
	}

	Checker checker() {
		return this.checker;
	}

	SimStore store() {
		return this.store;
	}

	SimWire wire() {
		return this.wire;
	}

	List<EntryProcess> entries() {
		return List.copyOf(this.entries.values());
	}

	List<TargetProcess> targets() {
		return List.copyOf(this.targets.values());
	}

	Set<String> accepted() {
		return this.accepted;
	}

	Map<String, JobPhase> seen() {
		return this.seen;
	}

	/**
	 * Makes the machines of entries slow.
	 * @param millis what a round of placing takes
	 */
	void entriesPlaceSlowly(long millis) {
		this.roundMillis = millis;
	}

	/**
	 * The epoch of the latest term.
	 * @return the epoch, 0 before the first one
	 */
	long epoch() {
		return term().map(TermRow::epoch).orElse(0L);
	}

	/**
	 * An entry that does not hold the term.
	 * @return the first one
	 */
	EntryProcess anyButTheHolder() {
		String holder = term().map(TermRow::address).orElse("");
		return entries().stream().filter((entry) -> !holder.endsWith(":" + entry.port)).findFirst().orElseThrow();
	}

	/**
	 * The entry that holds the term.
	 * @return the entry of the latest term
	 */
	EntryProcess theHolder() {
		String holder = term().map(TermRow::address).orElse("");
		return entries().stream().filter((entry) -> holder.endsWith(":" + entry.port)).findFirst().orElseThrow();
	}

	private Optional<TermRow> term() {
		return this.store.value(Tables.TERM).map(RecordCodec::readTerm);
	}

	void runFor(long millis) {
		this.time.runUntil(this.time.now() + millis);
	}

	/**
	 * A job of one small task that is handed in now.
	 * @param id its identifier
	 * @return the job
	 */
	Workflow smallJob(String id) {
		Step step = new Step(1, new ResourceAmount(1_000, 1_000, 1), 1_000, List.of(), false, false,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		return new Workflow(id, "q1", "one", "p", List.of(step), Workflow.Schedule.ONCE, this.time.now());
	}

	void submit(Workflow job, long runMillis, boolean fails) {
		this.checker.submit(job, runMillis, fails);
		hand(job, 0);
	}

	/**
	 * Hands in a job whose tasks crash each worker that starts them.
	 * @param job the job
	 * @param afterMillis how long after their start
	 */
	void submitCrashing(Workflow job, long afterMillis) {
		this.checker.crashes(job.id(), afterMillis);
		submit(job, afterMillis + CRASHING_RUNS_MILLIS, false);
	}

	void ask(String job) {
		EntryProcess entry = anyEntry();
		if (entry.dead()) {
			return;
		}
		boolean accepted = this.accepted.contains(job);
		entry.phase(job).thenAccept((answer) -> {
			if (answer instanceof JobAnswer.Known known) {
				this.seen.put(job, known.phase());
			}
			else if (answer instanceof JobAnswer.NoSuchJob && accepted) {
				this.checker.broken().add(this.time.now() + " lost: " + job + " was accepted and is not known");
			}
		});
	}

	void cancel(String job) {
		EntryProcess entry = anyEntry();
		if (entry.dead()) {
			return;
		}
		onAnswer(job, entry.cancel(job));
	}

	/**
	 * Takes note of the answer to a cancel once it comes.
	 * @param job the job
	 * @param cancel the answer
	 */
	void onAnswer(String job, CompletableFuture<JobAnswer> cancel) {
		cancel.thenAccept((answer) -> {
			if (answer instanceof JobAnswer.Known) {
				this.checker.cancelled(job);
			}
		});
	}

	/**
	 * Takes a zone out for a while.
	 * @param zone the zone
	 * @param millis for how long
	 */
	void zoneOut(String zone, long millis) {
		if (this.zonesOut.add(zone)) {
			this.store.put(TABLE, ZONE_OUT + zone, "{}");
			this.checker.zoneOut(zone);
			this.time.after(millis, () -> {
				this.zonesOut.remove(zone);
				this.checker.zoneBack(zone);
				this.store.put(TABLE, ZONE_OUT + zone, null);
			});
		}
	}

	private void hand(Workflow job, int tries) {
		EntryProcess entry = anyEntry();
		if (entry.dead()) {
			this.time.after(500, () -> hand(job, tries + 1));
			return;
		}
		this.checker.handedIn(job.id());
		entry.entry.submit(job, PATIENCE).thenAccept((outcome) -> {
			this.checker.answered(job.id(), outcome instanceof Submission.Refused);
			if (outcome instanceof Submission.Accepted) {
				this.accepted.add(job.id());
				if (this.random.nextInt(10) == 0) {
					this.time.after(3_000, () -> hand(job, 100));
				}
			}
			else if (tries < 8) {
				this.time.after(500, () -> hand(job, tries + 1));
			}
		});
	}

	private EntryProcess anyEntry() {
		List<EntryProcess> all = entries();
		return all.get(this.random.nextInt(all.size()));
	}

	/**
	 * A process with its restarts.
	 */
	abstract class Process {

		private final String name;

		private VirtualLoop loop = new VirtualLoop(FleetWorld.this.time);

		private SimWire.Endpoint endpoint;

		Process(String name) {
			this.name = name;
			this.loop.kill();
		}

		String name() {
			return this.name;
		}

		void start() {
			this.loop = new VirtualLoop(FleetWorld.this.time);
			this.endpoint = FleetWorld.this.wire.endpoint(this.name);
			begin(this.loop, this.endpoint);
		}

		abstract void begin(VirtualLoop fresh, SimWire.Endpoint network);

		FleetSettings settings(int port) {
			return new FleetSettings(this.name, "zone-0", new InetSocketAddress("127.0.0.1", port), "key", LEASE,
					Duration.ofMillis(2_400), Duration.ofSeconds(5), Duration.ofMillis(900), STATUS,
					Checkpointing.DEFAULT, SchedulerFeature.ALL);
		}

		boolean dead() {
			return this.loop.dead();
		}

		void kill() {
			if (this.loop.dead()) {
				return;
			}
			this.loop.kill();
			this.endpoint.kill();
			LOG.info("killed", "at", FleetWorld.this.time.now(), "process", this.name);
			FleetWorld.this.time.after(RESTART_MILLIS, this::start);
		}

		void pause(long millis) {
			this.loop.pause(millis);
		}

		void cut(long millis) {
			FleetWorld.this.wire.cut(this.name, millis);
		}

	}

	/**
	 * One entry.
	 */
	final class EntryProcess extends Process {

		private final int port;

		private SimStore.Client client;

		private FleetEntry entry;

		private boolean draining;

		EntryProcess(String name, int port) {
			super(name);
			this.port = port;
		}

		@Override
		void begin(VirtualLoop fresh, SimWire.Endpoint network) {
			this.draining = false;
			this.client = FleetWorld.this.store.client();
			Telemetry telemetry = new Telemetry();
			fresh.costs(costOfRounds(telemetry.registry().timer("placement")));
			this.entry = new FleetEntry(settings(this.port), this.client, new Declared(), network, fresh, telemetry);
			this.entry.start();
		}

		private LongSupplier costOfRounds(Timer rounds) {
			AtomicLong charged = new AtomicLong();
			return () -> (rounds.getCount() - charged.getAndSet(rounds.getCount())) * FleetWorld.this.roundMillis;
		}

		/**
		 * Restarts it gracefully: it gives up the term, answers callers for a while and
		 * ends.
		 * @param millis how long its process lives on
		 */
		void drain(long millis) {
			if (dead()) {
				return;
			}
			FleetEntry drained = this.entry;
			this.draining = true;
			LOG.info("drained", "at", FleetWorld.this.time.now(), "entry", name());
			drained.release();
			FleetWorld.this.time.after(millis, () -> {
				if (this.entry == drained) {
					kill();
				}
			});
		}

		/**
		 * Whether it may take the term or keep it.
		 * @return false while it drains or is not there
		 */
		boolean serves() {
			return !dead() && !this.draining;
		}

		/**
		 * Cancels a job, and requires that the answer comes in time unless the process
		 * ends before.
		 * @param job the job
		 */
		void cancelAndRequireAnswer(String job) {
			if (dead()) {
				return;
			}
			FleetEntry asked = this.entry;
			boolean known = FleetWorld.this.accepted.contains(job);
			CompletableFuture<JobAnswer> answer = cancel(job);
			onAnswer(job, answer);
			answer.thenAccept((given) -> {
				if (known && !(given instanceof JobAnswer.Known)) {
					FleetWorld.this.checker.broken()
						.add(FleetWorld.this.time.now() + " cancel: " + job + " was accepted, the answer is " + given);
				}
			});
			FleetWorld.this.time.after(CANCEL_MILLIS, () -> {
				if (!answer.isDone() && this.entry == asked && !dead()) {
					FleetWorld.this.checker.broken()
						.add(FleetWorld.this.time.now() + " cancel: " + job + " is not answered");
				}
			});
		}

		CompletableFuture<Submission> submit(Workflow job) {
			return this.entry.submit(job, PATIENCE);
		}

		CompletableFuture<JobAnswer> phase(String job) {
			return this.entry.phase(job, ASK_MILLIS);
		}

		CompletableFuture<JobAnswer> cancel(String job) {
			return this.entry.cancel(job, CANCEL_MILLIS);
		}

		FleetConfiguration configuration() {
			return this.entry.configuration();
		}

		void silenceFeeds() {
			this.client.silenceFeeds();
		}

		void cutFromStore(long millis) {
			SimStore.Client cut = this.client;
			if (cut != null) {
				cut.cut(true);
				FleetWorld.this.time.after(millis, () -> cut.cut(false));
			}
		}

	}

	/**
	 * One target and the worker beside it.
	 */
	final class TargetProcess extends Process {

		private final SimWorker worker;

		private FleetTarget target;

		TargetProcess(String name, SimWorker worker) {
			super(name);
			this.worker = worker;
			announce();
		}

		@Override
		void begin(VirtualLoop fresh, SimWire.Endpoint network) {
			this.target = new FleetTarget(settings(1), this.worker, FleetWorld.this.store.client(), network, fresh,
					new Telemetry());
			this.target.start();
		}

		SimWorker worker() {
			return this.worker;
		}

		private void announce() {
			if (!dead() && !this.worker.away()) {
				this.target.onWorkerDescribed(this.worker.describe(), FleetWorld.this.time.now());
			}
			FleetWorld.this.time.after(ANNOUNCE_MILLIS, this::announce);
		}

	}

}
