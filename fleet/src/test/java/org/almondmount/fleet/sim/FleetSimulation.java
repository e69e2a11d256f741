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
import org.almondmount.rows.RowStore.Place;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.term.TermRow;
import org.almondmount.workflow.Checkpointing;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.QueueDeclaration;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;

/**
 * A small installation under a simulated clock.
 */
final class FleetSimulation {

	private static final EventLog LOG = EventLog.named("FleetWorld");

	static final ResourceAmount WORKER_CAPACITY = new ResourceAmount(32_000, 128_000, 8);

	private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_500;

	/** Time from the end of a process to its restart. */
	static final long RESTART_DELAY_MILLIS = 600;

	/** The timeout of callers for a cancellation, in milliseconds. */
	private static final long CANCEL_TIMEOUT_MILLIS = 2_000;

	/** The timeout of callers for a query, in milliseconds. */
	private static final long QUERY_TIMEOUT_MILLIS = 2_000;

	/** The timeout of callers for a submission, in milliseconds. */
	private static final OptionalLong SUBMIT_TIMEOUT_MILLIS = OptionalLong.of(2_500);

	static final String DECLARATION_TABLE = "op";

	private static final Place DECLARATION = new Place(DECLARATION_TABLE, "config");

	/** Attempts after which a caller gives a submission up. */
	private static final int MAX_SUBMIT_ATTEMPTS = 8;

	static final String ZONE_OUT_KEY_PREFIX = "out/";

	/** The time for which a task that crashes its worker would run beyond the crash. */
	private static final long CRASHING_TASK_EXTRA_MILLIS = 2_000;

	private static final Duration LEASE_DURATION = Duration.ofSeconds(6);

	/** Longer than any test queries a job, except the tests of deletion. */
	static final Duration ENDED_JOB_RETENTION = Duration.ofMinutes(5);

	private final SimulationClock clock = new SimulationClock();

	private final Random random;

	private final InvariantChecker checker;

	private final SimStore store;

	private final SimWire wire = new SimWire(this.clock);

	private final Map<String, EntryProcess> entries = new LinkedHashMap<>();

	private final Map<String, TargetProcess> targets = new LinkedHashMap<>();

	private final Map<String, JobPhase> observedPhases = new LinkedHashMap<>();

	private final Set<String> acceptedJobs = new LinkedHashSet<>();

	private final Set<String> zonesOut = new HashSet<>();

	private final SimulatedDeclaration declaration;

	private long declaredRevision = 1;

	private long placementRoundMillis;

	FleetSimulation(long seed, int entryCount, int workerCount) {
		this(seed, entryCount, workerCount, SimulatedDeclaration.MODERATE);
	}

	FleetSimulation(long seed, int entryCount, int workerCount, SimulatedDeclaration declaration) {
		this.random = new Random(seed);
		this.declaration = declaration;
		this.checker = new InvariantChecker(this.clock, declaration.maxAttempts());
		this.store = new SimStore(this.clock, this.random);
		this.store.put(DECLARATION_TABLE, "config", declaration.row());
		for (int i = 0; i < entryCount; i++) {
			String name = "entry-" + i;
			this.entries.put(name, new EntryProcess(name, 9_000 + i));
		}
		for (int i = 0; i < workerCount; i++) {
			String name = "target-" + i;
			SimWorker worker = new SimWorker(this.clock, this.random, this.checker, "worker-" + i, "zone-" + i % 3,
					"r1-" + i / 3, WORKER_CAPACITY);
			this.targets.put(name, new TargetProcess(name, worker));
		}
		this.entries.values().forEach((entry) -> this.clock.scheduleAfter(this.random.nextInt(300), entry::start));
		this.targets.values().forEach((target) -> this.clock.scheduleAfter(this.random.nextInt(300), target::start));
	}

	Random random() {
		return this.random;
	}

	SimulationClock clock() {
		return this.clock;
	}

	InvariantChecker checker() {
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

	Set<String> acceptedJobs() {
		return this.acceptedJobs;
	}

	Map<String, JobPhase> observedPhases() {
		return this.observedPhases;
	}

	/**
	 * Sets the duration of a placement round on the entries.
	 * @param millis the duration of a round in milliseconds
	 */
	void setPlacementRoundMillis(long millis) {
		this.placementRoundMillis = millis;
	}

	/**
	 * Returns the epoch of the latest term.
	 * @return the epoch, 0 before the first one
	 */
	long epoch() {
		return term().map(TermRow::epoch).orElse(0L);
	}

	/**
	 * Returns an entry that does not hold the term.
	 * @return the first one
	 */
	EntryProcess nonHolder() {
		String holder = term().map(TermRow::address).orElse("");
		return entries().stream().filter((entry) -> !holder.endsWith(":" + entry.port)).findFirst().orElseThrow();
	}

	/**
	 * Returns the entry that holds the term.
	 * @return the entry of the latest term
	 */
	EntryProcess holder() {
		String holder = term().map(TermRow::address).orElse("");
		return entries().stream().filter((entry) -> holder.endsWith(":" + entry.port)).findFirst().orElseThrow();
	}

	private Optional<TermRow> term() {
		return this.store.value(Tables.TERM).map(RecordCodec::readTerm);
	}

	void runFor(long millis) {
		this.clock.runUntil(this.clock.now() + millis);
	}

	/**
	 * Creates a job of one small task that is submitted now.
	 * @param id its identifier
	 * @return the job
	 */
	Workflow smallJob(String id) {
		Step step = new Step(1, new ResourceAmount(1_000, 1_000, 1), 1_000, List.of(), false, false,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		return new Workflow(id, "q1", "one", "p", List.of(step), Workflow.Schedule.ONCE, this.clock.now());
	}

	void submit(Workflow job, long runMillis, boolean fails) {
		this.checker.registerJob(job, runMillis, fails);
		submitWithRetries(job, 0);
	}

	/**
	 * Submits a job whose tasks crash each worker that starts them.
	 * @param job the job
	 * @param afterMillis the time from the start of a task to the crash
	 */
	void submitCrashing(Workflow job, long afterMillis) {
		this.checker.registerCrashing(job.id(), afterMillis);
		submit(job, afterMillis + CRASHING_TASK_EXTRA_MILLIS, false);
	}

	void queryPhase(String job) {
		EntryProcess entry = anyEntry();
		if (entry.isDead()) {
			return;
		}
		boolean accepted = this.acceptedJobs.contains(job);
		entry.phase(job).thenAccept((answer) -> {
			if (answer instanceof JobAnswer.Known known) {
				this.observedPhases.put(job, known.phase());
			}
			else if (answer instanceof JobAnswer.NoSuchJob && accepted) {
				this.checker.violations().add(this.clock.now() + " lost: " + job + " was accepted and is unknown");
			}
		});
	}

	void cancel(String job) {
		EntryProcess entry = anyEntry();
		if (entry.isDead()) {
			return;
		}
		recordCancellationOnAnswer(job, entry.cancel(job));
	}

	/**
	 * Records the cancellation of a job when its answer arrives. The answer that there is
	 * no such job is one as well: a submission on its way must not run from then on.
	 * @param job the job
	 * @param cancel the future answer
	 */
	void recordCancellationOnAnswer(String job, CompletableFuture<JobAnswer> cancel) {
		cancel.thenAccept((answer) -> {
			if (!(answer instanceof JobAnswer.Unavailable)) {
				this.checker.recordCancellation(job);
			}
		});
	}

	/**
	 * Declares queues under new names, and no others.
	 * @param queueNames the names of the queues by the numbers of their paths
	 */
	void declareQueues(Map<Integer, String> queueNames) {
		this.store.put(DECLARATION_TABLE, "config", this.declaration.row(++this.declaredRevision, queueNames));
	}

	/**
	 * Takes a zone out of service for some time.
	 * @param zone the zone
	 * @param millis the duration in milliseconds
	 */
	void takeZoneOut(String zone, long millis) {
		if (this.zonesOut.add(zone)) {
			this.store.put(DECLARATION_TABLE, ZONE_OUT_KEY_PREFIX + zone, "{}");
			this.checker.recordZoneOut(zone);
			this.clock.scheduleAfter(millis, () -> {
				this.zonesOut.remove(zone);
				this.checker.recordZoneBack(zone);
				this.store.put(DECLARATION_TABLE, ZONE_OUT_KEY_PREFIX + zone, null);
			});
		}
	}

	private void submitWithRetries(Workflow job, int attempts) {
		EntryProcess entry = anyEntry();
		Optional<Workflow> routed = entry.isDead() ? Optional.empty() : route(entry, job);
		if (routed.isEmpty()) {
			if (entry.isDead() || attempts < MAX_SUBMIT_ATTEMPTS) {
				this.clock.scheduleAfter(500, () -> submitWithRetries(job, attempts + 1));
			}
			return;
		}
		this.checker.recordSubmission(job.id());
		entry.entry.submit(routed.get(), SUBMIT_TIMEOUT_MILLIS).thenAccept((outcome) -> {
			this.checker.recordAnswer(job.id(), outcome instanceof Submission.Refused);
			if (outcome instanceof Submission.Accepted) {
				this.acceptedJobs.add(job.id());
				if (this.random.nextInt(10) == 0) {
					this.clock.scheduleAfter(3_000, () -> submitWithRetries(job, 100));
				}
			}
			else if (attempts < MAX_SUBMIT_ATTEMPTS) {
				this.clock.scheduleAfter(500, () -> submitWithRetries(job, attempts + 1));
			}
		});
	}

	// Callers use the path of a queue, whatever its name is. An entry without
	// configuration keeps its callers waiting for a moment until it has read it.
	private Optional<Workflow> route(EntryProcess entry, Workflow job) {
		FleetConfiguration known = entry.configuration();
		FleetConfiguration configuration = (known.revision() != 0) ? known
				: SimulatedDeclaration.read(this.store.value(DECLARATION).orElseThrow());
		String path = "/" + job.queue() + "/";
		return configuration.route(SimulatedDeclaration.HOST, path)
			.map((queue) -> new Workflow(job.id(), queue.name(), job.customer(), job.program(), job.steps(),
					job.schedule(), job.acceptedAtMillis(),
					Optional.of(new QueueDeclaration(configuration.revision(), queue))));
	}

	private EntryProcess anyEntry() {
		List<EntryProcess> all = entries();
		return all.get(this.random.nextInt(all.size()));
	}

	/**
	 * A simulated process that is restarted after its end.
	 */
	abstract class SimulatedProcess {

		private final String name;

		private SimulatedLoop loop = new SimulatedLoop(FleetSimulation.this.clock);

		private SimWire.Endpoint endpoint;

		SimulatedProcess(String name) {
			this.name = name;
			this.loop.kill();
		}

		String name() {
			return this.name;
		}

		void start() {
			this.loop = new SimulatedLoop(FleetSimulation.this.clock);
			this.endpoint = FleetSimulation.this.wire.endpoint(this.name);
			startComponents(this.loop, this.endpoint);
		}

		abstract void startComponents(SimulatedLoop fresh, SimWire.Endpoint network);

		FleetSettings settings(int port) {
			return new FleetSettings(this.name, "zone-0", new InetSocketAddress("127.0.0.1", port), "key",
					LEASE_DURATION, Duration.ofMillis(2_400), Duration.ofSeconds(5), Duration.ofMillis(900),
					ENDED_JOB_RETENTION, Checkpointing.DEFAULT, SchedulerFeature.ALL);
		}

		boolean isDead() {
			return this.loop.isDead();
		}

		void kill() {
			if (this.loop.isDead()) {
				return;
			}
			this.loop.kill();
			this.endpoint.kill();
			LOG.info("killed", "at", FleetSimulation.this.clock.now(), "process", this.name);
			FleetSimulation.this.clock.scheduleAfter(RESTART_DELAY_MILLIS, this::start);
		}

		void pause(long millis) {
			this.loop.pause(millis);
		}

		void cutFromNetwork(long millis) {
			FleetSimulation.this.wire.cut(this.name, millis);
		}

	}

	/**
	 * A simulated entry.
	 */
	final class EntryProcess extends SimulatedProcess {

		private final int port;

		private SimStore.Client client;

		private FleetEntry entry;

		private boolean draining;

		EntryProcess(String name, int port) {
			super(name);
			this.port = port;
		}

		@Override
		void startComponents(SimulatedLoop newLoop, SimWire.Endpoint network) {
			this.draining = false;
			this.client = FleetSimulation.this.store.client();
			Telemetry telemetry = new Telemetry();
			newLoop.setWorkDuration(placementCost(telemetry.registry().timer("placement")));
			this.entry = new FleetEntry(settings(this.port), this.client, new SimulatedDeclarationReader(), network,
					newLoop, telemetry);
			this.entry.start();
		}

		private LongSupplier placementCost(Timer placementTimer) {
			AtomicLong chargedRounds = new AtomicLong();
			return () -> (placementTimer.getCount() - chargedRounds.getAndSet(placementTimer.getCount()))
					* FleetSimulation.this.placementRoundMillis;
		}

		/**
		 * Restarts the entry gracefully: it releases the term, answers callers for some
		 * time and ends.
		 * @param millis the time until its process ends
		 */
		void drain(long millis) {
			if (isDead()) {
				return;
			}
			FleetEntry drained = this.entry;
			this.draining = true;
			LOG.info("drained", "at", FleetSimulation.this.clock.now(), "entry", name());
			drained.release();
			FleetSimulation.this.clock.scheduleAfter(millis, () -> {
				if (this.entry == drained) {
					kill();
				}
			});
		}

		/**
		 * Returns whether the entry may acquire or hold the term.
		 * @return false while it drains or is down
		 */
		boolean isServing() {
			return !isDead() && !this.draining;
		}

		/**
		 * Cancels a job and requires that the answer arrives in time unless the process
		 * ends before.
		 * @param job the job
		 */
		void cancelAndRequireAnswer(String job) {
			if (isDead()) {
				return;
			}
			FleetEntry queriedEntry = this.entry;
			boolean accepted = FleetSimulation.this.acceptedJobs.contains(job);
			CompletableFuture<JobAnswer> answer = cancel(job);
			recordCancellationOnAnswer(job, answer);
			answer.thenAccept((result) -> {
				if (accepted && !(result instanceof JobAnswer.Known)) {
					FleetSimulation.this.checker.violations()
						.add(FleetSimulation.this.clock.now() + " cancel: " + job + " was accepted, but the answer is "
								+ result);
				}
			});
			FleetSimulation.this.clock.scheduleAfter(CANCEL_TIMEOUT_MILLIS, () -> {
				if (!answer.isDone() && this.entry == queriedEntry && !isDead()) {
					FleetSimulation.this.checker.violations()
						.add(FleetSimulation.this.clock.now() + " cancel: " + job + " was not answered");
				}
			});
		}

		CompletableFuture<Submission> submit(Workflow job) {
			return this.entry.submit(job, SUBMIT_TIMEOUT_MILLIS);
		}

		CompletableFuture<JobAnswer> phase(String job) {
			return this.entry.phase(job, QUERY_TIMEOUT_MILLIS);
		}

		CompletableFuture<JobAnswer> cancel(String job) {
			return this.entry.cancel(job, CANCEL_TIMEOUT_MILLIS);
		}

		FleetConfiguration configuration() {
			return this.entry.configuration();
		}

		void silenceFeeds() {
			this.client.silenceFeeds();
		}

		void cutFromStore(long millis) {
			SimStore.Client cutClient = this.client;
			if (cutClient != null) {
				cutClient.setCutOff(true);
				FleetSimulation.this.clock.scheduleAfter(millis, () -> cutClient.setCutOff(false));
			}
		}

	}

	/**
	 * A simulated target with its worker.
	 */
	final class TargetProcess extends SimulatedProcess {

		private final SimWorker worker;

		private FleetTarget target;

		TargetProcess(String name, SimWorker worker) {
			super(name);
			this.worker = worker;
			announce();
		}

		@Override
		void startComponents(SimulatedLoop newLoop, SimWire.Endpoint network) {
			this.target = new FleetTarget(settings(1), this.worker, FleetSimulation.this.store.client(), network,
					newLoop, new Telemetry());
			this.target.start();
		}

		SimWorker worker() {
			return this.worker;
		}

		/**
		 * Replaces the worker: it drains, announces its shutdown and ends, at once if its
		 * target confirms the announcement.
		 * @param drainMillis the time for which it drains
		 * @param unconfirmedMillis the time from the announcement to its end
		 * @param absentMillis the time until the next worker starts
		 */
		void replaceWorker(long drainMillis, long unconfirmedMillis, long absentMillis) {
			WorkerIncarnation incarnation = this.worker.incarnation();
			this.worker.drain(drainMillis);
			FleetSimulation.this.clock.scheduleAfter(drainMillis, () -> {
				if (!isDead() && this.worker.incarnation().equals(incarnation)) {
					this.target.onWorkerLeft(incarnation.worker());
				}
			});
			FleetSimulation.this.clock.scheduleAfter(drainMillis + unconfirmedMillis, () -> {
				if (this.worker.incarnation().equals(incarnation)) {
					LOG.info("worker-ended", "at", FleetSimulation.this.clock.now(), "target", name());
					this.worker.crashAndRestartAfter(absentMillis);
				}
			});
		}

		private void announce() {
			if (!isDead() && !this.worker.isUnavailable()) {
				this.target.onWorkerDescribed(this.worker.describe(), FleetSimulation.this.clock.now());
			}
			FleetSimulation.this.clock.scheduleAfter(ANNOUNCEMENT_INTERVAL_MILLIS, this::announce);
		}

	}

}
