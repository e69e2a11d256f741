package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.almondmount.concurrent.EventProcessor;
import org.almondmount.gang.MemberManager;
import org.almondmount.gang.MemberManagerFactory;
import org.almondmount.gang.MemberPolicy;
import org.almondmount.http.HttpClient;
import org.almondmount.services.WorkerClient;
import org.almondmount.settings.TargetSettings;
import org.almondmount.slots.SlotGate;
import org.almondmount.slots.SlotGateFactory;
import org.almondmount.slots.SlotPolicy;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.WireEndpoint;

/**
 * The process beside one worker and one service instance. Thread-safe.
 * <p>
 * {@link #start()} dials the balancer and goes on until {@link #drain()} or
 * {@link #close()}.
 */
public final class TargetDaemon implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(TargetDaemon.class);

	private static final int RING = 8_192;

	/**
	 * Places of the ring that messages may not take, so that the endings of connections,
	 * calls and orders, which are bounded in number, always find room.
	 */
	private static final int RESERVED = 2_048;

	private static final long TICK_MILLIS = 50;

	/** Time for the last answers to leave the process after everything has ended. */
	private static final long FLUSH_MILLIS = 300;

	private final TargetSettings settings;

	private final WireEndpoint wire;

	private final PeerInfo self;

	private final EventProcessor<TargetSignal> duty;

	private final TargetDecisions decisions;

	private final EntryDirectory entries;

	private final ScheduledExecutorService ticks;

	private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

	private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

	/**
	 * Makes a target that does nothing before {@link #start()}.
	 * @param settings its settings
	 * @param http the client towards the instance, with at most {@code connections}
	 * connections to a server
	 * @param worker the client towards the worker
	 * @param wire opens connections to entries
	 * @param telemetry the process's metrics
	 */
	public TargetDaemon(TargetSettings settings, HttpClient http, WorkerClient worker, WireEndpoint wire,
			Telemetry telemetry) {
		this.settings = settings;
		this.wire = wire;
		String name = settings.worker().id().value();
		long incarnation = System.currentTimeMillis();
		this.self = new PeerInfo(PeerInfo.Role.TARGET, name, "", settings.worker().zone().value(),
				Optional.of(settings.worker()), settings.slots(), incarnation);
		this.duty = new EventProcessor<>("decisions", RING, this::decide,
				(fault) -> LOG.fault("decisions-fault", fault));
		this.ticks = Executors.newSingleThreadScheduledExecutor(TargetDaemon::tickThread);
		this.entries = new EntryDirectory(settings.balancer(), new SplittableRandom(name.hashCode() ^ incarnation));
		Consumer<TargetSignal> signals = this::must;
		SlotGate gate = SlotGateFactory.create(SlotPolicy.DEFAULT.withSlots(settings.slots())
			.withConnections(settings.connections())
			.withRotation(name.hashCode()));
		SlotShell slots = new SlotShell(gate, new InstanceCalls(http, settings.instance(), signals), this.entries,
				telemetry);
		WorkerTasks tasks = new WorkerTasks(worker, settings.timing().taskLease(), signals);
		MemberShell members = new MemberShell(keeper(settings), tasks, this::tellEveryEntry);
		this.decisions = new TargetDecisions(settings, TargetDaemon::nowMillis, this.entries, slots, members, tasks,
				this::dial);
	}

	/** Begins. */
	public void start() {
		LOG.info("target-starting", "target", this.self.name(), "zone", this.self.zone(), "slots",
				this.settings.slots());
		this.duty.start();
		this.ticks.scheduleAtFixedRate(() -> this.duty.offer(new TargetSignal.Tick()), 0, TICK_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Takes no new work, finishes what is there and has tasks suspended. Returns at once.
	 * @return true when everything has ended, false when the drain's time ran out first
	 */
	public CompletableFuture<Boolean> drain() {
		must(new TargetSignal.Drain());
		this.ticks.schedule(() -> this.ended.complete(false), this.settings.timing().drain().toMillis(),
				TimeUnit.MILLISECONDS);
		return this.ended;
	}

	/** Ends the threads and connections at once. */
	@Override
	public void close() {
		this.ticks.shutdownNow();
		this.duty.close();
		this.connections.forEach((connection) -> connection.close(CloseReason.LOCAL));
	}

	private void decide(TargetSignal signal) {
		this.decisions.handle(signal);
		if (this.decisions.drained() && !this.ended.isDone()) {
			this.ticks.schedule(() -> this.ended.complete(true), FLUSH_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tellEveryEntry(Message message) {
		this.entries.links().forEach((link) -> link.connection().send(message));
	}

	private void dial(InetSocketAddress address) {
		this.wire.dial(address, this.self, this.settings.peer(), new Listener()).whenComplete((connection, failure) -> {
			if (failure == null) {
				must(new TargetSignal.DialSucceeded(address));
				return;
			}
			must(new TargetSignal.DialFailed(address, Failures.cause(failure).getMessage()));
		});
	}

	private void must(TargetSignal signal) {
		if (!this.duty.offer(signal)) {
			LOG.warn("signal-dropped", "signal", signal.getClass().getSimpleName());
		}
	}

	private static MemberManager keeper(TargetSettings settings) {
		MemberPolicy policy = MemberPolicy.DEFAULT.withCapacity(settings.worker().capacity())
			.withPrepareHold(settings.timing().prepareHold())
			.withGangTimeout(settings.timing().gangTimeout())
			.withTaskLease(settings.timing().taskLease());
		return MemberManagerFactory.create(policy);
	}

	private static Thread tickThread(Runnable work) {
		Thread thread = new Thread(work, "ticks");
		thread.setDaemon(true);
		return thread;
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Hands what happens on connections to the duty.
	 */
	private final class Listener implements PeerListener {

		@Override
		public void onConnected(PeerConnection connection) {
			TargetDaemon.this.connections.add(connection);
			must(new TargetSignal.Opened(connection));
		}

		@Override
		public void onMessage(PeerConnection connection, Message message) {
			boolean room = TargetDaemon.this.duty.queuedCount() < RING - RESERVED;
			if (room && TargetDaemon.this.duty.offer(new TargetSignal.Received(connection, message))) {
				return;
			}
			// A call that is turned away here is not remembered, so that "not started"
			// could be untrue of a copy.
			LOG.warn("ring-full", "message", message.getClass().getSimpleName());
			if (message instanceof Message.Call call) {
				connection.send(new Message.CallBroken(call.request(), call.attempt(), "the target's ring is full"));
				return;
			}
			connection.close(CloseReason.LOCAL);
		}

		@Override
		public void onDisconnected(PeerConnection connection, CloseReason reason) {
			TargetDaemon.this.connections.remove(connection);
			must(new TargetSignal.Closed(connection, reason));
		}

	}

}
