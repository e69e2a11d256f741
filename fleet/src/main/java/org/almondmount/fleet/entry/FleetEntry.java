package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Addresses;
import org.almondmount.fleet.DeclarationReader;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
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
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.impl.DefaultWorkflowScheduler;

/**
 * An entry for workflows: takes callers' jobs and questions and, while it holds the term,
 * decides what runs where. Thread-safe.
 */
public final class FleetEntry implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(FleetEntry.class);

	private static final long HOLDER_WORD_MILLIS = 300;

	/** Entries that do not hold the term speak at every third turn. */
	private static final int QUIET_TURNS = 3;

	private final FleetSettings settings;

	private final RowStore store;

	private final WireEndpoint wire;

	private final Loop loop;

	private final StorePatience patience = new StorePatience();

	private final PeerInfo self;

	private final PeerLinks peers;

	private final StoreNews storeNews;

	private final TargetLinks targets;

	private final TermDriver term;

	private final HolderDesk holder;

	private final JobIntake intake;

	private final FrontDesk desk;

	private final DeclaredState declared;

	private final DeclaredNews news;

	private final StoreProbe probe;

	private final EntryRegister register;

	private final CompletableFuture<Void> released = new CompletableFuture<>();

	/** Calls that wait for the first configuration. */
	private final Set<CompletableFuture<Boolean>> awaiting = new LinkedHashSet<>();

	private volatile FleetConfiguration configuration = FleetConfiguration.NONE;

	private volatile WireEndpoint.ListeningSocket listening;

	private int turn;

	/**
	 * Makes an entry that does nothing before {@link #start()}.
	 * @param settings its settings
	 * @param store where rows lie
	 * @param reader reads what operators declare
	 * @param wire opens connections to peers
	 * @param loop where it decides
	 * @param telemetry the process's metrics
	 */
	public FleetEntry(FleetSettings settings, RowStore store, DeclarationReader reader, WireEndpoint wire, Loop loop,
			Telemetry telemetry) {
		this.loop = loop;
		this.settings = settings;
		this.store = store;
		this.wire = wire;
		String run = settings.name() + "-" + Long.toString(loop.wallMillis(), Character.MAX_RADIX);
		this.self = new PeerInfo(PeerInfo.Role.ENTRY, run, settings.peerAddress(), settings.zone(), Optional.empty(), 0,
				loop.wallMillis());
		this.peers = new PeerLinks(settings.peerAddress(), this.loop, this::dial);
		this.targets = new TargetLinks(this.peers::connectedAddresses);
		this.term = new TermDriver(new TermSettings(run, settings.peerAddress(), settings.termLength().toMillis()),
				store, this.loop, this.patience, telemetry, this::writesOf, new TermListener());
		this.holder = new HolderDesk(
				new DefaultWorkflowScheduler(SchedulerPolicy.DEFAULT.withLeaseMillis(settings.lease().toMillis())
					.withStopTimeoutMillis(settings.stop().toMillis())
					.withEndedJobRetentionMillis(settings.status().toMillis())
					.withCheckpointing(settings.checkpointing())
					.withFeatures(settings.features())),
				store, this.loop, telemetry, this.term, this.targets, settings.lease().toMillis());
		this.storeNews = new StoreNews(this.peers, this.patience, this.loop, this::askStore);
		EntryCalls calls = new EntryCalls(this.term, this.peers, this.loop);
		this.intake = new JobIntake(store, this.loop, this.patience, telemetry, this.holder, this.peers, this.storeNews,
				calls, this::priorityOf);
		this.desk = new FrontDesk(store, this.loop, this.patience, this.holder, calls, this.intake);
		this.probe = new StoreProbe(store, this.loop, this.patience, this.intake::anyWaiting);
		this.declared = new DeclaredState(store, reader, this.loop, this::inForce, this.probe::ask);
		this.news = new DeclaredNews(this.declared, this.loop);
		this.register = new EntryRegister(settings, store, this.loop, this.patience, this.peers);
		this.probe.whenAnswering(this.term::storeAnswers);
		this.probe.whenAnswering(this.intake::storeAnswers);
		this.probe.whenAnswering(this.storeNews::answersHere);
		telemetry.gauge("term.epoch", this.term::epoch);
	}

	/**
	 * Begins.
	 * @return completes once peers can connect
	 */
	public CompletableFuture<Void> start() {
		this.loop.start();
		return this.wire.listen(this.settings.peers(), this.self, this.settings.peer(), new Listener())
			.thenAccept((bound) -> {
				this.listening = bound;
				LOG.info("entry-started", "entry", this.self.name(), "zone", this.settings.zone(), "peers",
						bound.address());
				this.loop.run(this::begin);
			});
	}

	/**
	 * What operators declared, as far as this entry knows.
	 * @return the newest configuration
	 */
	public FleetConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Waits until this entry knows what operators declared: an entry that has just
	 * started reads it within about a third of a second, and a caller that was refused
	 * meanwhile would have lost one of its few tries.
	 * @param patience the time that a caller gives, empty where it does not say
	 * @return whether it is known
	 */
	public CompletableFuture<Boolean> configured(OptionalLong patience) {
		CompletableFuture<Boolean> outcome = new CompletableFuture<>();
		long millis = patience.orElse(IntakePolicy.DEFAULT.usualPatienceMillis());
		boolean taken = this.loop.run(() -> awaitConfiguration(millis, outcome));
		if (!taken) {
			outcome.complete(false);
		}
		return outcome;
	}

	/**
	 * Accepts a job.
	 * @param job the job
	 * @param patience the time that its caller gives, empty where it does not say
	 * @return what became of it
	 */
	public CompletableFuture<Submission> submit(Workflow job, OptionalLong patience) {
		CompletableFuture<Submission> outcome = new CompletableFuture<>();
		long millis = patience.orElse(IntakePolicy.DEFAULT.usualPatienceMillis());
		boolean taken = this.loop.run(() -> this.intake.submit(job, millis).thenAccept(outcome::complete));
		if (!taken) {
			outcome.complete(new Submission.Refused(IntakeRefusal.BUSY,
					IntakePolicy.DEFAULT.comeBackAfter(IntakeRefusal.BUSY, millis)));
		}
		return outcome;
	}

	/**
	 * Says where a job stands.
	 * @param job the job
	 * @param withinMillis after which its caller has to have an answer
	 * @return where it stands
	 */
	public CompletableFuture<JobAnswer> phase(String job, long withinMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (!this.loop.run(() -> this.desk.phase(job, withinMillis).thenAccept(outcome::complete))) {
			outcome.complete(new JobAnswer.Unavailable());
		}
		return outcome;
	}

	/**
	 * Cancels a job.
	 * @param job the job
	 * @param withinMillis after which its caller has to have an answer
	 * @return known where the cancel is kept
	 */
	public CompletableFuture<JobAnswer> cancel(String job, long withinMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (!this.loop.run(() -> this.desk.cancel(job, withinMillis).thenAccept(outcome::complete))) {
			outcome.complete(new JobAnswer.Unavailable());
		}
		return outcome;
	}

	/**
	 * Counts the jobs of a queue none of whose tasks has started.
	 * @param queue the queue
	 * @return the count, or empty where the holder does not answer
	 */
	public CompletableFuture<OptionalInt> waiting(String queue) {
		CompletableFuture<OptionalInt> outcome = new CompletableFuture<>();
		if (!this.loop.run(() -> this.desk.waiting(queue).thenAccept(outcome::complete))) {
			outcome.complete(OptionalInt.empty());
		}
		return outcome;
	}

	/**
	 * Gives the term up, so that another entry can take it at once.
	 * @return completes when it is given up or was not held
	 */
	public CompletableFuture<Void> release() {
		this.loop.run(this.term::release);
		return this.released;
	}

	@Override
	public void close() {
		if (this.listening != null) {
			this.listening.close();
		}
		this.loop.close();
	}

	private void begin() {
		this.declared.start();
		this.term.start();
		this.holder.start();
		this.intake.start();
		this.probe.start();
		this.register.start();
		this.loop.every(HOLDER_WORD_MILLIS, this::speak);
	}

	// Jobs of a queue that is not declared any more go last.
	private int priorityOf(String queue) {
		return this.configuration.queue(queue).map(JobQueue::priority).orElse(Integer.MAX_VALUE);
	}

	private List<Write> writesOf(long sequence) {
		return this.holder.writesOf(sequence);
	}

	private void speak() {
		this.turn++;
		if (this.term.epoch() != 0 || this.turn % QUIET_TURNS == 0) {
			this.peers.broadcast(heartbeat());
		}
	}

	// A holder that waits for its term to be renewed speaks too: entries that took it for
	// lost would hold up the commit that renews it by commits of their own.
	private Message.EntryHeartbeat heartbeat() {
		boolean holds = this.term.epoch() != 0;
		return new Message.EntryHeartbeat(this.turn, this.declared.version(), holds ? this.term.epoch() : 0, holds,
				holds ? this.term.keptCommit() : 0);
	}

	private void quit(long epoch) {
		this.peers.broadcast(new Message.EntryHeartbeat(this.turn, this.declared.version(), epoch, false));
	}

	private void awaitConfiguration(long patienceMillis, CompletableFuture<Boolean> outcome) {
		if (this.configuration.revision() != 0) {
			outcome.complete(true);
			return;
		}
		if (this.awaiting.size() >= IntakePolicy.DEFAULT.mostWaiting()) {
			outcome.complete(false);
			return;
		}
		this.awaiting.add(outcome);
		this.loop.after(IntakePolicy.DEFAULT.waitsUntil(0, patienceMillis, false), () -> {
			this.awaiting.remove(outcome);
			outcome.complete(false);
		});
	}

	private void inForce(DeclaredState state) {
		this.configuration = state.configuration();
		if (this.configuration.revision() != 0) {
			this.awaiting.forEach((outcome) -> outcome.complete(true));
			this.awaiting.clear();
		}
		this.holder.declared(state.configuration(), state.zonesOut());
	}

	private void dial(String address) {
		try {
			this.wire.dial(Addresses.parse(address), this.self, this.settings.peer(), new Listener())
				.whenComplete((connection, failure) -> {
					if (failure != null) {
						this.loop.run(() -> dialFailed(address, failure));
					}
				});
		}
		catch (InvalidValueException ex) {
			LOG.warn("entry-row-unreadable", "why", ex.getMessage());
		}
	}

	// Where nobody listens any more the process that listened there is gone, and with it
	// the term that it held: nobody has to wait for its end.
	private void dialFailed(String address, Throwable failure) {
		this.peers.dialFailed(address);
		Optional<TermRow> held = this.term.holder().filter((row) -> row.address().equals(address));
		if (held.isPresent() && failure instanceof WireException fault && fault.reason() == CloseReason.REFUSED) {
			LOG.info("holder-gone", "address", address, "epoch", held.get().epoch());
			this.term.holderQuit(held.get().epoch());
		}
	}

	private void opened(PeerConnection connection) {
		LOG.info("peer-connected", "peer", connection.peer().name(), "role", connection.peer().role());
		if (connection.peer().role() == PeerInfo.Role.TARGET) {
			this.targets.opened(connection);
			return;
		}
		this.peers.opened(connection);
		this.storeNews.connected(connection.peer().address());
		connection.send(heartbeat());
	}

	private void closed(PeerConnection connection, CloseReason reason) {
		LOG.info("peer-lost", "peer", connection.peer().name(), "reason", reason.externalName());
		if (connection.peer().role() == PeerInfo.Role.TARGET) {
			this.targets.closed(connection);
			return;
		}
		this.peers.closed(connection);
		if (this.term.holder().map(TermRow::address).filter(connection.peer().address()::equals).isPresent()) {
			this.term.holderLost();
			this.peers.known(connection.peer().address());
		}
	}

	private void received(PeerConnection connection, Message message) {
		if (connection.peer().role() == PeerInfo.Role.TARGET) {
			if (this.targets.isCurrent(connection)) {
				this.holder.heard(connection.peer().name(), message);
			}
			return;
		}
		if (message instanceof Message.EntryHeartbeat word) {
			holderWord(connection.peer(), word);
			this.news.tell(connection, word.revision());
		}
		else if (message instanceof Message.Forward call) {
			forwarded(connection, call);
		}
		else if (message instanceof Message.ForwardAnswer answer) {
			this.peers.answered(answer);
		}
	}

	// A word that names an epoch and does not hold it is that epoch's holder giving it
	// up.
	private void holderWord(PeerInfo peer, Message.EntryHeartbeat word) {
		if (word.holder()) {
			this.term.holderHeard(word.epoch(), word.lastCommit(), peer.name(), peer.address());
		}
		else if (word.epoch() > 0) {
			this.term.holderQuit(word.epoch());
		}
	}

	private void askStore() {
		this.probe.ask();
	}

	private void forwarded(PeerConnection connection, Message.Forward call) {
		if (this.storeNews.taken(connection.peer().address(), call)) {
			return;
		}
		if (this.news.taken(call)) {
			return;
		}
		this.desk.asked(call)
			.thenAccept((answer) -> connection.send(new Message.ForwardAnswer(call.id(), answer.status(),
					answer.headers(), answer.body().getBytes(StandardCharsets.UTF_8))));
	}

	/**
	 * Hands what happens with the term to the parts that it concerns.
	 */
	private final class TermListener implements TermDriver.Listener {

		@Override
		public void began(long epoch) {
			FleetEntry.this.holder.termBegan(epoch);
			FleetEntry.this.peers.broadcast(heartbeat());
		}

		@Override
		public void ended(long epoch) {
			FleetEntry.this.holder.termEnded();
			quit(epoch);
		}

		@Override
		public void saved(long sequence) {
			FleetEntry.this.holder.saved(sequence);
		}

		@Override
		public void holderSeen(TermRow row) {
			FleetEntry.this.peers.known(row.address());
			FleetEntry.this.targets.holderSeen(row);
		}

		@Override
		public void released() {
			FleetEntry.this.released.complete(null);
		}

	}

	/**
	 * Hands what happens on connections to the loop.
	 */
	private final class Listener implements PeerListener {

		@Override
		public void onConnected(PeerConnection connection) {
			FleetEntry.this.loop.run(() -> FleetEntry.this.opened(connection));
		}

		@Override
		public void onMessage(PeerConnection connection, Message message) {
			if (!FleetEntry.this.loop.run(() -> FleetEntry.this.received(connection, message))) {
				connection.close(CloseReason.LOCAL);
			}
		}

		@Override
		public void onDisconnected(PeerConnection connection, CloseReason reason) {
			FleetEntry.this.loop.run(() -> FleetEntry.this.closed(connection, reason));
		}

	}

}
