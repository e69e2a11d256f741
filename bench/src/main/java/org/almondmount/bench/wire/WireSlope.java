package org.almondmount.bench.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobId;
import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.impl.NettyWireEndpoint;

/**
 * One side of many light connections: {@code entry N} accepts, {@code target N PORT}
 * dials. Each target sends a heartbeat with two members every half second and gets a
 * reply, as in production. After the window each side prints a line of CSV; see
 * {@link ProcessCost#since}.
 */
public final class WireSlope {

	private static final PeerSettings SETTINGS = PeerSettings.defaults("a key for measuring only");

	private static final long HEARTBEAT_MILLIS = 500;

	private static final int BATCHES = 50;

	private static final Duration WARM_UP = Duration.ofSeconds(10);

	private static final Duration WINDOW = Duration.ofSeconds(20);

	private static final Attempt ATTEMPT = new Attempt(new JobId("j12-3456"), 2);

	private final Telemetry telemetry = new Telemetry();

	private final IoThreads io = new IoThreads("wire", 1);

	private final NettyWireEndpoint wire = new NettyWireEndpoint(this.io, this.telemetry);

	private final Set<PeerConnection> open = ConcurrentHashMap.newKeySet();

	private final int connections;

	private final AtomicReferenceArray<PeerConnection> dialled;

	private WireSlope(int connections) {
		this.connections = connections;
		this.dialled = new AtomicReferenceArray<>(connections);
	}

	public static void main(String[] arguments) {
		WireSlope slope = new WireSlope(Integer.parseInt(arguments[1]));
		if (arguments[0].equals("entry")) {
			slope.accept();
		}
		else {
			slope.dial(Integer.parseInt(arguments[2]));
		}
	}

	private void accept() {
		PeerInfo self = new PeerInfo(PeerInfo.Role.ENTRY, "entry-1", "127.0.0.1:1", "a", Optional.empty(), 0, 1);
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		InetSocketAddress bound = this.wire.listen(any, self, SETTINGS, new Listener()).join().address();
		System.out.println("port " + bound.getPort());
		measure("entry");
	}

	private void dial(int port) {
		InetSocketAddress entry = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
		heartbeats();
		for (int i = 0; i < this.connections; i++) {
			String name = "worker-" + i;
			WorkerInfo worker = new WorkerInfo(new WorkerId(name), new ZoneId("a"), new RackId("r"),
					new Resources(8, 128, 524_288));
			PeerInfo self = new PeerInfo(PeerInfo.Role.TARGET, name, "", "a", Optional.of(worker), 8, 1);
			this.dialled.set(i, this.wire.dial(entry, self, SETTINGS, new Listener()).join());
		}
		measure("target");
	}

	private void heartbeats() {
		ScheduledExecutorService ticks = Executors.newSingleThreadScheduledExecutor((work) -> {
			Thread thread = new Thread(work, "ticks");
			thread.setDaemon(true);
			return thread;
		});
		List<HeldMember> members = List.of(new HeldMember(ATTEMPT, 0, 8, true), new HeldMember(ATTEMPT, 1, 8, true));
		Message heartbeat = new Message.Heartbeat(123_456, 7, 3, 4, members);
		int batches = Math.min(BATCHES, this.connections);
		for (int batch = 0; batch < batches; batch++) {
			int first = batch;
			ticks.scheduleAtFixedRate(() -> beat(heartbeat, first, batches), HEARTBEAT_MILLIS * batch / batches,
					HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void beat(Message heartbeat, int first, int batches) {
		for (int i = first; i < this.connections; i += batches) {
			PeerConnection connection = this.dialled.get(i);
			if (connection != null) {
				connection.send(heartbeat);
			}
		}
	}

	private void measure(String side) {
		while (this.open.size() < this.connections) {
			LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
		}
		pause(WARM_UP);
		ProcessCost before = ProcessCost.now(this.telemetry.registry());
		pause(WINDOW);
		ProcessCost after = ProcessCost.now(this.telemetry.registry());
		System.out.println(after.since(before, side, this.connections));
		if (this.open.size() != this.connections) {
			System.out.println("lost " + (this.connections - this.open.size()) + " connections");
		}
		pause(WARM_UP);
	}

	private static void pause(Duration time) {
		long end = System.nanoTime() + time.toNanos();
		while (System.nanoTime() < end) {
			LockSupport.parkNanos(end - System.nanoTime());
		}
	}

	/**
	 * Answers heartbeats.
	 */
	private final class Listener implements PeerListener {

		@Override
		public void onConnected(PeerConnection connection) {
			WireSlope.this.open.add(connection);
		}

		@Override
		public void onMessage(PeerConnection connection, Message message) {
			if (message instanceof Message.Heartbeat heartbeat) {
				connection.send(new Message.HeartbeatReply(heartbeat.sequence(), 7, 3_000, List.of(ATTEMPT), List.of(),
						List.of("10.0.0.7:7000", "10.0.0.8:7000")));
			}
		}

		@Override
		public void onDisconnected(PeerConnection connection, CloseReason reason) {
			WireSlope.this.open.remove(connection);
		}

	}

}
