package org.almondmount.daemon.entry.control;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.almondmount.daemon.entry.api.ApiCall;
import org.almondmount.daemon.entry.calls.RequestShell;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.shell.Alarm;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.http.HttpAnswer;
import org.almondmount.membership.EntryDirectory;
import org.almondmount.model.Configuration;
import org.almondmount.model.EntryId;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RequestId;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerListener;

/**
 * The shell round the lease, the configuration, the other processes and, while this entry
 * is holder, the job decisions. Public methods are thread-safe; all state is owned by the
 * control duty.
 */
public final class ControlShell {

	private static final long TICK_MILLIS = 100;

	private static final long FORWARD_MILLIS = 15_000;

	private static final long FORGET_ENTRY_MILLIS = 120_000;

	private static final long TELL_MILLIS = 500;

	private static final int OK = 200;

	private final EntryContext context;

	private final Mailbox mailbox;

	private final RequestShell requests;

	private final Answerer answerer;

	private final EntryDirectory directory;

	private final Peers peers = new Peers();

	private final HolderView holder = new HolderView();

	private final ConfigurationDriver configuration;

	private final Scheduling scheduling;

	private final LeaseDriver lease;

	private final TargetTalk targets;

	private final EntryTalk entries;

	private final EntryRows rows;

	private final Forwarder forwarder;

	private final ControlApi api;

	private final Alarm alarm;

	private final Readiness readiness = new Readiness();

	private CompletableFuture<Void> drained;

	/**
	 * Makes the shell; {@link #start()} begins it.
	 * @param context what the entry works with
	 * @param mailbox the control duty
	 * @param store the store's duty
	 * @param requests the shell round the request decisions
	 * @param dial opens a connection to another entry
	 */
	public ControlShell(EntryContext context, Mailbox mailbox, Mailbox store, RequestShell requests,
			Consumer<InetSocketAddress> dial) {
		this.context = context;
		this.mailbox = mailbox;
		this.requests = requests;
		this.answerer = new Answerer(context.telemetry());
		this.directory = new EntryDirectory(context.peerAddress(), FORGET_ENTRY_MILLIS);
		this.configuration = new ConfigurationDriver(context, mailbox, this::inForce, this::askPeer);
		this.scheduling = new Scheduling(context, mailbox, store,
				new Scheduling.Parts(this::lease, this.configuration, this.peers, this.holder, this.answerer));
		this.lease = new LeaseDriver(context, mailbox, this.scheduling);
		this.targets = new TargetTalk(context, this.peers, this.scheduling, this.configuration, this.directory);
		this.entries = new EntryTalk(context, this.scheduling, this.configuration,
				new EntryTalk.Shared(this.peers, this.directory, this.holder), dial);
		this.rows = new EntryRows(context, mailbox, this.directory);
		this.forwarder = new Forwarder(context.clock(), this.answerer);
		this.api = new ControlApi(context.clock(), this.answerer, this.scheduling);
		this.alarm = new Alarm(context.timer(), context.clock(), mailbox, this::tick);
	}

	/** Begins the regular ticks: the lease is sought and the configuration read. */
	public void start() {
		this.alarm.every(TICK_MILLIS);
		this.lease.start();
	}

	/**
	 * Hears what happens on connections between processes.
	 * @return the listener
	 */
	public PeerListener peerListener() {
		return new PeerDispatcher(this.mailbox, this.requests, this, this.context.telemetry());
	}

	/**
	 * Why the entry should get no calls.
	 * @return the reason, or empty while it should
	 */
	public Optional<String> notReady() {
		return this.readiness.notReady();
	}

	/**
	 * Takes a job or operator call, on any thread.
	 * @param call the call
	 * @param responder the place for its answer
	 */
	public void call(ApiCall call, Consumer<HttpAnswer> responder) {
		if (!this.mailbox.offer(() -> route(call, responder::accept, true))) {
			responder.accept(this.answerer.comeBack(RefusalReason.OVERLOADED, "the entry's queue of calls is full"));
		}
	}

	/** The balancer should send no more calls here; what comes is still served. */
	public void announceLeaving() {
		this.readiness.leave();
		this.mailbox.deliver(() -> {
			this.peers.toEntries(new Message.Leaving());
			this.peers.toTargets(new Message.Leaving());
			this.rows.remove();
		});
	}

	/**
	 * Refuses calls from now on, finishes what waits for the table and gives up the
	 * scheduler's lease.
	 * @return completes when the lease was given up
	 */
	public CompletableFuture<Void> drain() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.mailbox.deliver(() -> {
			this.drained = done;
			this.forwarder.endWaits();
		});
		return done;
	}

	/**
	 * Closes the connections to other processes. Left to the end of the process, a peer
	 * could still send a call that nobody reads and wait for its answer.
	 * @return completes when they are being closed
	 */
	public CompletableFuture<Void> closeConnections() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.mailbox.deliver(() -> {
			this.peers.closeAll();
			done.complete(null);
		});
		return done;
	}

	void opened(PeerConnection connection) {
		if (PeerDispatcher.isTarget(connection)) {
			this.targets.opened(connection);
			this.readiness.targetConnected(this.context.clock().millis());
		}
		else {
			this.entries.opened(connection);
		}
	}

	void closed(PeerConnection connection) {
		if (PeerDispatcher.isTarget(connection)) {
			this.targets.closed(connection);
		}
		else {
			this.entries.closed(connection);
			this.forwarder.lost(connection);
		}
	}

	void received(PeerConnection connection, Message message) {
		if (message instanceof Message.ConfigurationWanted) {
			this.configuration.current().ifPresent((now) -> connection.send(new Message.ConfigurationPush(now)));
		}
		else if (message instanceof Message.ConfigurationPush push) {
			this.configuration.pushed(push.configuration());
		}
		else if (PeerDispatcher.isTarget(connection)) {
			this.targets.received(connection, message);
		}
		else if (message instanceof Message.Forward forward) {
			forwarded(connection, forward);
		}
		else if (message instanceof Message.ForwardAnswer answer) {
			this.forwarder.answered(connection, answer);
		}
		else {
			this.entries.received(connection, message);
		}
	}

	private LeaseDriver lease() {
		return this.lease;
	}

	private void tick() {
		long now = this.context.clock().millis();
		this.readiness.tick(now);
		this.configuration.tick();
		this.scheduling.tick();
		this.targets.tick(now);
		this.entries.tick(now);
		this.rows.tick(now);
		this.forwarder.tick();
		if (this.drained != null && isIdle()) {
			CompletableFuture<Void> done = this.drained;
			this.drained = null;
			this.lease.release().thenRun(() -> released(done));
		}
	}

	// A call that another entry forwarded just before it heard that the lease is free
	// would be lost with the connection, and its caller told that it may have run. So the
	// others are told first, and what they had sent by then is still answered.
	private void released(CompletableFuture<Void> done) {
		this.entries.beatSoon();
		this.context.timer().schedule(() -> done.complete(null), TELL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private boolean isIdle() {
		return this.forwarder.isIdle() && this.scheduling.term().map(SchedulerTerm::isIdle).orElse(true);
	}

	private void inForce(Configuration now) {
		this.requests.configurationChanged(now);
		this.scheduling.configurationChanged(now);
		this.peers.toTargets(new Message.ConfigurationPush(now));
		this.peers.toEntries(new Message.ConfigurationPush(now));
		this.readiness.configurationInForce(this.context.clock().millis());
	}

	private void askPeer(String peer, long ownRevision) {
		this.peers.named(peer).ifPresent((connection) -> connection.send(new Message.ConfigurationWanted(ownRevision)));
	}

	private void forwarded(PeerConnection connection, Message.Forward forward) {
		Responder responder = (answer) -> connection
			.send(new Message.ForwardAnswer(forward.id(), answer.status(), answer.headers(), answer.body()));
		try {
			route(Forwarder.call(forward), responder, false);
		}
		catch (DocumentException ex) {
			responder.answer(this.answerer.notRun(RefusalReason.INVALID, ex.getMessage()));
		}
	}

	private void route(ApiCall call, Responder responder, boolean mayForward) {
		List<String> segments = call.segments();
		if (segments.size() == 2 && segments.get(0).equals("explain") && segments.get(1).contains(".r")) {
			explainRequest(call, segments.get(1), responder, mayForward);
			return;
		}
		if (answeredHere(call, segments, responder)) {
			return;
		}
		Optional<SchedulerTerm> term = this.scheduling.term();
		if (term.isPresent()) {
			this.api.handle(term.get(), call, responder);
			return;
		}
		if (!mayForward) {
			responder.answer(this.answerer.comeBack(RefusalReason.NO_SCHEDULER,
					"this entry does not hold the scheduler's lease"));
			return;
		}
		forward(this.holder.holder().flatMap(this.peers::entry), call, responder);
	}

	private void forward(Optional<PeerConnection> to, ApiCall call, Responder responder) {
		try {
			this.forwarder.forward(to, call, FORWARD_MILLIS + ControlApi.waitOf(call).toMillis(), responder);
		}
		catch (DocumentException ex) {
			responder.answer(this.answerer.notRun(RefusalReason.INVALID, ex.getMessage()));
		}
	}

	private boolean answeredHere(ApiCall call, List<String> segments, Responder responder) {
		if (!call.isRead() || segments.size() != 1
				|| !List.of("status", "customers", "zones").contains(segments.get(0))) {
			return false;
		}
		if (!call.caller().isOperator()) {
			responder.answer(this.answerer.notRun(RefusalReason.FORBIDDEN, "the call is for operators"));
			return true;
		}
		if (segments.get(0).equals("status")) {
			responder.answer(this.answerer.document(OK, status()));
			return true;
		}
		Optional<Configuration> current = this.configuration.current();
		if (current.isEmpty()) {
			responder.answer(this.answerer.comeBack(RefusalReason.NO_CONFIGURATION,
					"the entry has not yet read a configuration"));
			return true;
		}
		Object documents = segments.get(0).equals("zones") ? Listings.zones(current.get(), this.peers.workersByZone())
				: Listings.customers(current.get());
		responder.answer(this.answerer.document(OK,
				Listings.document("revision", current.get().revision(), segments.get(0), documents)));
		return true;
	}

	private Map<String, Object> status() {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("entry", this.context.self().value());
		document.put("region", this.context.settings().region());
		document.put("ready", this.readiness.notReady().isEmpty());
		document.put("revision", this.configuration.revision());
		document.put("store", this.configuration.storeAnswers() ? "answers" : "away");
		document.put("holder", this.holder.holder().map(EntryId::value).orElse("unknown"));
		document.put("epoch", this.holder.epoch());
		document.put("schedulesHere", this.scheduling.term().isPresent());
		document.put("workers", this.peers.workers().size());
		document.put("entries", this.directory.addressesToAnnounce());
		return document;
	}

	private void explainRequest(ApiCall call, String subject, Responder responder, boolean mayForward) {
		if (!call.caller().isOperator()) {
			responder.answer(this.answerer.notRun(RefusalReason.FORBIDDEN, "requests are explained to operators"));
			return;
		}
		EntryId entry = new EntryId(subject.substring(0, subject.lastIndexOf(".r")));
		if (!entry.equals(this.context.self()) && mayForward) {
			forward(this.peers.entry(entry), call, responder);
			return;
		}
		this.requests.explain(new RequestId(subject)).thenAccept((sentences) -> {
			if (sentences.isEmpty()) {
				responder.answer(this.answerer.notRun(RefusalReason.NOT_FOUND,
						"request " + subject + " is not known here any more"));
				return;
			}
			responder.answer(this.answerer.document(OK, Listings.document("about", subject, "why", sentences)));
		});
	}

}
