package org.almondmount.daemon.entry;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.almondmount.daemon.entry.api.ApiCall;
import org.almondmount.daemon.entry.api.Caller;
import org.almondmount.daemon.entry.api.EntryHttp;
import org.almondmount.daemon.entry.api.Tokens;
import org.almondmount.daemon.entry.calls.RequestShell;
import org.almondmount.daemon.entry.control.ControlShell;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.StoreWriter;
import org.almondmount.http.HttpExchange;
import org.almondmount.http.HttpServer;
import org.almondmount.http.impl.NettyHttpServer;
import org.almondmount.model.EntryId;
import org.almondmount.requests.RequestPolicy;
import org.almondmount.requests.RequestRouter;
import org.almondmount.requests.RequestRouterFactory;
import org.almondmount.settings.EntrySettings;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.wire.impl.NettyWireEndpoint;

/**
 * An entry: takes callers' and operators' calls, routes requests to targets and, while it
 * holds the scheduler's lease, schedules jobs. Thread-safe.
 * <p>
 * Threads with one duty each: {@code entry-io} for the network, {@code requests} and
 * {@code control} for decisions, {@code store} for batching writes, {@code timer} for
 * alarms. They are joined by bounded rings.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(EntryDaemon.class);

	private static final int RING = 1 << 14;

	private static final int KEY_TRANSACTIONS_PER_SECOND = 80;

	private static final int KEY_TRANSACTIONS_UNDER_WAY = 8;

	private static final Duration LONGEST_LINGER = Duration.ofSeconds(2);

	private static final int LINGER_PARTS = 5;

	private static final long LONGEST_CLOSE_MILLIS = 500;

	private final EntrySettings settings;

	private final EntryRuntime runtime;

	private final EntryContext context;

	private final ScheduledExecutorService timer;

	private final Mailbox requestsBox;

	private final Mailbox controlBox;

	private final Mailbox storeBox;

	private final RequestShell requests;

	private final ControlShell control;

	private final EntryHttp http;

	private final WireEndpoint wire;

	private final PeerInfo self;

	private volatile HttpServer server;

	private volatile WireEndpoint.ListeningSocket peers;

	/**
	 * Makes an entry; {@link #start()} begins it.
	 * @param settings its settings
	 * @param runtime what it runs on
	 */
	public EntryDaemon(EntrySettings settings, EntryRuntime runtime) {
		this.settings = settings;
		this.runtime = runtime;
		this.timer = Executors.newSingleThreadScheduledExecutor((work) -> {
			Thread thread = new Thread(work, "timer");
			thread.setDaemon(true);
			return thread;
		});
		EntryId id = new EntryId(settings.name() + "-" + suffix());
		this.context = new EntryContext(id, settings, runtime.clock(), this.timer, runtime.telemetry(),
				runtime.table());
		this.requestsBox = new Mailbox("requests", RING, runtime.telemetry());
		this.controlBox = new Mailbox("control", RING, runtime.telemetry());
		this.storeBox = new Mailbox("store", RING, runtime.telemetry());
		this.requests = requests();
		this.wire = new NettyWireEndpoint(runtime.io(), runtime.telemetry());
		this.self = new PeerInfo(PeerInfo.Role.ENTRY, id.value(), this.context.peerAddress(), settings.zone().value(),
				Optional.empty(), 0, System.currentTimeMillis());
		this.control = new ControlShell(this.context, this.controlBox, this.storeBox, this.requests, this::dial);
		this.http = new EntryHttp(new Tokens(settings.customerTokens(), settings.operatorTokens()), runtime.telemetry(),
				new CallRoutes());
	}

	/**
	 * Starts the duties and listens; it serves calls once it knows a configuration.
	 * @return completes when callers and peers can connect, or fails if an address can't
	 * be bound
	 */
	public CompletableFuture<Void> start() {
		this.requestsBox.start();
		this.controlBox.start();
		this.storeBox.start();
		this.requests.start();
		this.control.start();
		CompletableFuture<Void> peersBound = this.wire
			.listen(this.settings.peers(), this.self, this.settings.peer(), this.control.peerListener())
			.thenAccept((listening) -> this.peers = listening);
		CompletableFuture<Void> httpBound = NettyHttpServer
			.start(this.runtime.io(), this.settings.http(), this.settings.limits(), this.http, this.runtime.telemetry())
			.thenAccept((bound) -> this.server = bound);
		return CompletableFuture.allOf(peersBound, httpBound)
			.thenRun(() -> LOG.info("entry-started", "entry", this.context.self(), "http", this.server.address(),
					"peers", this.peers.address(), "zone", this.settings.zone()));
	}

	/**
	 * Where callers connect.
	 * @return the bound address, after {@link #start()}
	 */
	public InetSocketAddress httpAddress() {
		return this.server.address();
	}

	/**
	 * Where other processes connect.
	 * @return the bound address, after {@link #start()}
	 */
	public InetSocketAddress peersAddress() {
		return this.peers.address();
	}

	/**
	 * Shuts down gracefully: not ready first, then, after a while in which the balancer
	 * learns of it, no new calls; what is there is finished and answered, the lease is
	 * given up, and everything is closed.
	 * @return completes before the drain time of the settings is over; true when nothing
	 * had to be cut
	 */
	public CompletableFuture<Boolean> drain() {
		Duration deadline = this.settings.timing().drain();
		Duration linger = min(LONGEST_LINGER, deadline.dividedBy(LINGER_PARTS));
		LOG.info("drain-begun", "entry", this.context.self(), "deadline", deadline);
		this.control.announceLeaving();
		CompletableFuture<Boolean> closed = this.server.drain(linger, deadline.minus(linger));
		CompletableFuture<Void> finished = new CompletableFuture<>();
		this.timer.schedule(() -> finish(finished), linger.toMillis(), TimeUnit.MILLISECONDS);
		return closed.thenCombine(finished, (clean, nothing) -> clean)
			.completeOnTimeout(false, deadline.toMillis(), TimeUnit.MILLISECONDS)
			.whenComplete((clean, failure) -> {
				LOG.info("drain-ended", "entry", this.context.self(), "clean", clean);
				close();
			});
	}

	@Override
	public void close() {
		if (this.server != null) {
			this.server.close();
		}
		if (this.peers != null) {
			this.peers.close();
		}
		this.control.closeConnections()
			.completeOnTimeout(null, LONGEST_CLOSE_MILLIS, TimeUnit.MILLISECONDS)
			.thenRun(this.runtime.io()::close);
		this.timer.shutdownNow();
		this.requestsBox.close();
		this.controlBox.close();
		this.storeBox.close();
	}

	private void finish(CompletableFuture<Void> finished) {
		this.http.refuseCalls();
		CompletableFuture.allOf(this.requests.drain(), this.control.drain())
			.whenComplete((nothing, failure) -> finished.complete(null));
	}

	private RequestShell requests() {
		RequestRouter router = RequestRouterFactory.create(RequestPolicy.DEFAULT.withOwnZone(this.settings.zone()),
				new SplittableRandom(this.context.self().hashCode()));
		StoreWriter claims = new StoreWriter(this.context.table(), this.storeBox, this.context.clock(), this.timer,
				this.context.telemetry(), this.context.self() + ".keys", KEY_TRANSACTIONS_UNDER_WAY,
				KEY_TRANSACTIONS_PER_SECOND);
		return new RequestShell(this.context, router, this.requestsBox, claims);
	}

	private void dial(InetSocketAddress address) {
		this.wire.dial(address, this.self, this.settings.peer(), this.control.peerListener())
			.whenComplete((connection, failure) -> {
				if (failure != null) {
					this.runtime.telemetry().count("entry.dial-failed");
				}
			});
	}

	private static Duration min(Duration one, Duration other) {
		return (one.compareTo(other) < 0) ? one : other;
	}

	private static String suffix() {
		byte[] bytes = new byte[4];
		new SecureRandom().nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Hands calls to the duties.
	 */
	private final class CallRoutes implements EntryHttp.Routes {

		@Override
		public void request(Caller caller, HttpExchange exchange) {
			EntryDaemon.this.requests.call(caller.customer().orElseThrow(), exchange);
		}

		@Override
		public void api(ApiCall call, HttpExchange exchange) {
			EntryDaemon.this.control.call(call, exchange::answer);
		}

		@Override
		public Optional<String> notReady() {
			return EntryDaemon.this.control.notReady();
		}

	}

}
