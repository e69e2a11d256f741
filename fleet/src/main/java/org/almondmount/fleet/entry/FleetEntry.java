package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.Addresses;
import org.almondmount.fleet.DeclarationReader;
import org.almondmount.fleet.EntryAddresses;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.intake.IntakePolicy;
import org.almondmount.intake.IntakeRefusal;
import org.almondmount.model.InvalidValueException;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Write;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.term.TermRow;
import org.almondmount.term.TermSettings;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.wire.WireException;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;

/**
 * An entry for workflows: accepts jobs and queries of callers and, while it holds the
 * term, schedules the jobs. Thread-safe.
 */
public final class FleetEntry implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(FleetEntry.class);

	private static final long HEARTBEAT_INTERVAL_MILLIS = 300;

	/** Entries that do not hold the term send a heartbeat at every third tick. */
	private static final int TICKS_PER_NON_HOLDER_HEARTBEAT = 3;

	private final FleetSettings settings;

	private final RowStore store;

	private final WireEndpoint wire;

	private final EventLoop loop;

	private final AdaptiveStoreTimeout storeTimeout = new AdaptiveStoreTimeout();

	private final PeerInfo self;

	private final PeerLinks peers;

	private final StoreGossip storeGossip;

	private final TargetLinks targets;

	private final TermDriver term;

	private final SchedulerDriver schedulerDriver;

	private final JobIntake intake;

	private final JobRequestHandler requestHandler;

	private final ConfigurationWatcher configurationWatcher;

	private final ConfigurationGossip configurationGossip;

	private final StoreProbe probe;

	private final EntryRegistration registration;

	private final CompletableFuture<Void> released = new CompletableFuture<>();

	/** Calls that wait for the first configuration. */
	private final Set<CompletableFuture<Boolean>> configurationWaiters = new LinkedHashSet<>();

	private volatile FleetConfiguration configuration = FleetConfiguration.NONE;

	private volatile WireEndpoint.ListeningSocket listening;

	private int tickCount;

	/**
	 * Creates an entry that does nothing before {@link #start()}.
	 * @param settings the settings
	 * @param store the store of all rows
	 * @param reader reads the declared configuration
	 * @param wire opens connections to peers
	 * @param loop runs all decisions
	 * @param telemetry metrics of the process
	 */
	public FleetEntry(FleetSettings settings, RowStore store, DeclarationReader reader, WireEndpoint wire,
			EventLoop loop, Telemetry telemetry) {
		this.loop = loop;
		this.settings = settings;
		this.store = store;
		this.wire = wire;
		String incarnationName = settings.name() + "-" + Long.toString(loop.wallMillis(), Character.MAX_RADIX);
		this.self = new PeerInfo(PeerInfo.Role.ENTRY, incarnationName, settings.peerAddress(), settings.zone(),
				Optional.empty(), 0, loop.wallMillis());
		this.peers = new PeerLinks(settings.peerAddress(), this.loop, this::dial);
		this.targets = new TargetLinks(this.peers::connectedAddresses);
		this.term = new TermDriver(
				new TermSettings(incarnationName, settings.peerAddress(), settings.termLength().toMillis()), store,
				this.loop, this.storeTimeout, telemetry, this::writesFor, new TermListener());
		this.schedulerDriver = new SchedulerDriver(
				new DefaultWorkflowScheduler(
						SchedulerPolicy.DEFAULT.withLeaseMillis(settings.leaseDuration().toMillis())
							.withStopTimeoutMillis(settings.stopTimeout().toMillis())
							.withEndedJobRetentionMillis(settings.endedJobRetention().toMillis())
							.withCheckpointing(settings.checkpointing())
							.withFeatures(settings.features())),
				store, this.loop, telemetry, this.term, this.targets, settings);
		this.storeGossip = new StoreGossip(this.peers, this.storeTimeout, this.loop, this::probeStore);
		EntryCalls calls = new EntryCalls(this.term, this.peers, this.loop);
		this.intake = new JobIntake(store, this.loop, this.storeTimeout, telemetry, this.schedulerDriver, this.peers,
				this.storeGossip, calls, (job) -> this.configuration.priority(job));
		this.requestHandler = new JobRequestHandler(store, this.loop, this.storeTimeout, this.schedulerDriver, calls,
				this.intake, telemetry);
		this.probe = new StoreProbe(store, this.loop, this.storeTimeout, this.intake::hasWaitingJobs);
		this.configurationWatcher = new ConfigurationWatcher(store, reader, this.loop, this::onConfigurationChanged,
				this.probe::probe);
		this.configurationGossip = new ConfigurationGossip(this.configurationWatcher, this.loop);
		this.registration = new EntryRegistration(settings, store, this.loop, this.storeTimeout, this.peers,
				new EntryAddresses(LOG, telemetry));
		this.probe.addListener(this.term::onStoreAnswering);
		this.probe.addListener(this.intake::onStoreAnswering);
		this.probe.addListener(this.storeGossip::onStoreAnswering);
		telemetry.gauge("term.epoch", this.term::epoch);
	}

	/**
	 * Starts the entry.
	 * @return completes when peers can connect
	 */
	public CompletableFuture<Void> start() {
		this.loop.start();
		return this.wire
			.listen(this.settings.peerListenAddress(), this.self, this.settings.peerSettings(), new Listener())
			.thenAccept((bound) -> {
				this.listening = bound;
				LOG.info("entry-started", "entry", this.self.name(), "zone", this.settings.zone(), "peers",
						bound.address());
				this.loop.execute(this::startComponents);
			});
	}

	/**
	 * Returns the declared configuration, as far as this entry knows.
	 * @return the newest configuration
	 */
	public FleetConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Waits until this entry has a configuration. An entry that has just started reads it
	 * within about a third of a second, and a caller refused in the meantime would lose
	 * one of its few attempts.
	 * @param timeout the timeout of the caller, empty if it gives none
	 * @return whether a configuration is known
	 */
	public CompletableFuture<Boolean> awaitConfigured(OptionalLong timeout) {
		CompletableFuture<Boolean> outcome = new CompletableFuture<>();
		long timeoutMillis = timeout.orElse(IntakePolicy.DEFAULT.defaultTimeoutMillis());
		boolean accepted = this.loop.execute(() -> addConfigurationWaiter(timeoutMillis, outcome));
		if (!accepted) {
			outcome.complete(false);
		}
		return outcome;
	}

	/**
	 * Accepts a job.
	 * @param job the job
	 * @param timeout the timeout of the caller, empty if it gives none
	 * @return the outcome
	 */
	public CompletableFuture<Submission> submit(Workflow job, OptionalLong timeout) {
		CompletableFuture<Submission> outcome = new CompletableFuture<>();
		long timeoutMillis = timeout.orElse(IntakePolicy.DEFAULT.defaultTimeoutMillis());
		boolean accepted = this.loop
			.execute(() -> this.intake.submit(job, timeoutMillis).thenAccept(outcome::complete));
		if (!accepted) {
			outcome.complete(new Submission.Refused(IntakeRefusal.BUSY,
					IntakePolicy.DEFAULT.retryAfter(IntakeRefusal.BUSY, timeoutMillis)));
		}
		return outcome;
	}

	/**
	 * Returns the phase of a job.
	 * @param job the job
	 * @param timeoutMillis the time within which the caller needs an answer
	 * @return the answer
	 */
	public CompletableFuture<JobAnswer> phase(String job, long timeoutMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (!this.loop.execute(() -> this.requestHandler.phase(job, timeoutMillis).thenAccept(outcome::complete))) {
			outcome.complete(new JobAnswer.Unavailable());
		}
		return outcome;
	}

	/**
	 * Cancels a job.
	 * @param job the job
	 * @param timeoutMillis the time within which the caller needs an answer
	 * @return {@link JobAnswer.Known} if the cancellation is stored
	 */
	public CompletableFuture<JobAnswer> cancel(String job, long timeoutMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (!this.loop.execute(() -> this.requestHandler.cancel(job, timeoutMillis).thenAccept(outcome::complete))) {
			outcome.complete(new JobAnswer.Unavailable());
		}
		return outcome;
	}

	/**
	 * Counts the jobs of a queue of which no task has started.
	 * @param queue the queue
	 * @return the count, or empty if the holder does not answer
	 */
	public CompletableFuture<OptionalInt> queuedJobCount(String queue) {
		CompletableFuture<OptionalInt> outcome = new CompletableFuture<>();
		if (!this.loop.execute(() -> this.requestHandler.queuedJobCount(queue).thenAccept(outcome::complete))) {
			outcome.complete(OptionalInt.empty());
		}
		return outcome;
	}

	/**
	 * Releases the term, so that another entry can take it at once.
	 * @return completes when the term is released or was not held
	 */
	public CompletableFuture<Void> release() {
		this.loop.execute(this.term::release);
		return this.released;
	}

	@Override
	public void close() {
		if (this.listening != null) {
			this.listening.close();
		}
		this.loop.close();
	}

	private void startComponents() {
		this.configurationWatcher.start();
		this.term.start();
		this.schedulerDriver.start();
		this.intake.start();
		this.probe.start();
		this.registration.start();
		this.loop.scheduleRepeatedly(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeat);
	}

	private List<Write> writesFor(long sequence) {
		return this.schedulerDriver.writesFor(sequence);
	}

	private void sendHeartbeat() {
		this.tickCount++;
		if (this.term.epoch() != 0 || this.tickCount % TICKS_PER_NON_HOLDER_HEARTBEAT == 0) {
			this.peers.broadcast(heartbeat());
		}
	}

	// A holder that waits for the renewal of its term sends heartbeats too. Otherwise
	// other entries would consider it lost, and their own commits would delay the commit
	// that renews the term.
	private Message.EntryHeartbeat heartbeat() {
		boolean isHolder = this.term.epoch() != 0;
		return new Message.EntryHeartbeat(this.tickCount, this.configurationWatcher.version(),
				isHolder ? this.term.epoch() : 0, isHolder, isHolder ? this.term.persistedCommit() : 0);
	}

	private void announceResignation(long epoch) {
		this.peers
			.broadcast(new Message.EntryHeartbeat(this.tickCount, this.configurationWatcher.version(), epoch, false));
	}

	private void addConfigurationWaiter(long timeoutMillis, CompletableFuture<Boolean> outcome) {
		if (this.configuration.revision() != 0) {
			outcome.complete(true);
			return;
		}
		if (this.configurationWaiters.size() >= IntakePolicy.DEFAULT.maxWaiting()) {
			outcome.complete(false);
			return;
		}
		this.configurationWaiters.add(outcome);
		this.loop.schedule(IntakePolicy.DEFAULT.waitDeadline(0, timeoutMillis, false), () -> {
			this.configurationWaiters.remove(outcome);
			outcome.complete(false);
		});
	}

	private void onConfigurationChanged(ConfigurationWatcher watcher) {
		this.configuration = watcher.configuration();
		if (this.configuration.revision() != 0) {
			this.configurationWaiters.forEach((outcome) -> outcome.complete(true));
			this.configurationWaiters.clear();
		}
		this.schedulerDriver.onConfigurationChanged(watcher.configuration(), watcher.zonesOut());
	}

	private void dial(String address) {
		try {
			this.wire.dial(Addresses.parse(address), this.self, this.settings.peerSettings(), new Listener())
				.whenComplete((connection, failure) -> {
					if (failure != null) {
						this.loop.execute(() -> onDialFailed(address, failure));
					}
				});
		}
		catch (InvalidValueException ex) {
			LOG.warn("entry-row-unreadable", "why", ex.getMessage());
			this.peers.dialFailed(address);
		}
	}

	// If the connection is refused, the process that listened on the address has ended,
	// and its term with it: the other entries need not wait for the end of the term.
	private void onDialFailed(String address, Throwable failure) {
		this.peers.dialFailed(address);
		Optional<TermRow> held = this.term.holder().filter((row) -> row.address().equals(address));
		if (held.isPresent() && failure instanceof WireException fault && fault.reason() == CloseReason.REFUSED) {
			LOG.info("holder-gone", "address", address, "epoch", held.get().epoch());
			this.term.onHolderResigned(held.get().epoch());
		}
	}

	private void onConnected(PeerConnection connection) {
		LOG.info("peer-connected", "peer", connection.peer().name(), "role", connection.peer().role());
		if (connection.peer().role() == PeerInfo.Role.TARGET) {
			this.targets.onConnected(connection);
			return;
		}
		this.peers.onConnected(connection);
		this.storeGossip.onConnected(connection.peer().address());
		connection.send(heartbeat());
	}

	private void onDisconnected(PeerConnection connection, CloseReason reason) {
		LOG.info("peer-lost", "peer", connection.peer().name(), "reason", reason.externalName());
		if (connection.peer().role() == PeerInfo.Role.TARGET) {
			this.targets.onDisconnected(connection);
			return;
		}
		this.peers.onDisconnected(connection);
		if (this.term.holder().map(TermRow::address).filter(connection.peer().address()::equals).isPresent()) {
			this.term.onHolderLost();
			this.peers.addAddress(connection.peer().address());
		}
	}

	private void onMessage(PeerConnection connection, Message message) {
		if (connection.peer().role() == PeerInfo.Role.TARGET) {
			if (this.targets.isCurrent(connection)) {
				this.schedulerDriver.onTargetMessage(connection.peer().name(), message);
			}
			return;
		}
		if (message instanceof Message.EntryHeartbeat heartbeat) {
			onEntryHeartbeat(connection.peer(), heartbeat);
			this.configurationGossip.sendMissing(connection, heartbeat.revision());
		}
		else if (message instanceof Message.Forward call) {
			onForward(connection, call);
		}
		else if (message instanceof Message.ForwardAnswer answer) {
			this.peers.onAnswer(answer);
		}
	}

	// A heartbeat that names an epoch without holding it means that the holder of this
	// epoch resigns.
	private void onEntryHeartbeat(PeerInfo peer, Message.EntryHeartbeat heartbeat) {
		if (heartbeat.holder()) {
			this.term.onHolderAnnounced(heartbeat.epoch(), heartbeat.lastCommit(), peer.name(), peer.address());
		}
		else if (heartbeat.epoch() > 0) {
			this.term.onHolderResigned(heartbeat.epoch());
		}
	}

	private void probeStore() {
		this.probe.probe();
	}

	private void onForward(PeerConnection connection, Message.Forward call) {
		if (this.storeGossip.handle(connection.peer().address(), call)) {
			return;
		}
		if (this.configurationGossip.handle(call)) {
			return;
		}
		this.requestHandler.handleCall(call)
			.thenAccept((answer) -> connection.send(new Message.ForwardAnswer(call.id(), answer.status(),
					answer.headers(), answer.body().getBytes(StandardCharsets.UTF_8))));
	}

	/**
	 * Passes the events of the term to the components concerned.
	 */
	private final class TermListener implements TermDriver.Listener {

		@Override
		public void onTermBegan(long epoch) {
			FleetEntry.this.schedulerDriver.onTermBegan(epoch);
			FleetEntry.this.peers.broadcast(heartbeat());
		}

		@Override
		public void onTermEnded(long epoch) {
			FleetEntry.this.schedulerDriver.onTermEnded();
			announceResignation(epoch);
		}

		@Override
		public void onPersisted(long sequence) {
			FleetEntry.this.schedulerDriver.onPersisted(sequence);
		}

		@Override
		public void onHolderSeen(TermRow row) {
			FleetEntry.this.peers.addAddress(row.address());
			FleetEntry.this.targets.onHolderSeen(row);
		}

		@Override
		public void onReleased() {
			FleetEntry.this.released.complete(null);
		}

	}

	/**
	 * Passes the events of connections to the event loop.
	 */
	private final class Listener implements PeerListener {

		@Override
		public void onConnected(PeerConnection connection) {
			FleetEntry.this.loop.execute(() -> FleetEntry.this.onConnected(connection));
		}

		@Override
		public void onMessage(PeerConnection connection, Message message) {
			if (!FleetEntry.this.loop.execute(() -> FleetEntry.this.onMessage(connection, message))) {
				connection.close(CloseReason.LOCAL);
			}
		}

		@Override
		public void onDisconnected(PeerConnection connection, CloseReason reason) {
			FleetEntry.this.loop.execute(() -> FleetEntry.this.onDisconnected(connection, reason));
		}

	}

}
