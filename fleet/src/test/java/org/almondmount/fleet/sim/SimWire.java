package org.almondmount.fleet.sim;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.wire.WireException;

/**
 * The network between simulated processes. A cut delays bytes; a connection whose bytes
 * are delayed for longer than the heartbeat timeout is closed, and they are delivered all
 * the same when the cut ends, as TCP may do.
 */
final class SimWire {

	private static final long LATENCY_MILLIS = 1;

	private static final long HEARTBEAT_TIMEOUT_MILLIS = 2_500;

	private final SimulationClock clock;

	private final Map<InetSocketAddress, Endpoint> listeners = new HashMap<>();

	private final Set<String> cut = new HashSet<>();

	private final Map<String, List<Runnable>> heldDeliveries = new HashMap<>();

	private BiConsumer<String, Message> messageObserver = (vm, message) -> {
	};

	SimWire(SimulationClock time) {
		this.clock = time;
	}

	Endpoint endpoint(String vm) {
		return new Endpoint(vm);
	}

	/**
	 * Passes each message that a process receives to an observer.
	 * @param observer receives the name of the process and the message
	 */
	void observeMessages(BiConsumer<String, Message> observer) {
		this.messageObserver = observer;
	}

	void cut(String vm, long millis) {
		this.cut.add(vm);
		this.clock.scheduleAfter(millis, () -> {
			this.cut.remove(vm);
			List<Runnable> deliveries = this.heldDeliveries.remove(vm);
			if (deliveries != null) {
				deliveries.forEach((delivery) -> this.clock.scheduleAfter(LATENCY_MILLIS, delivery));
			}
		});
	}

	private void deliver(String from, String to, Runnable delivery) {
		String blockedVm = this.cut.contains(from) ? from : to;
		if (this.cut.contains(blockedVm)) {
			this.heldDeliveries.computeIfAbsent(blockedVm, (vm) -> new ArrayList<>()).add(delivery);
			return;
		}
		this.clock.scheduleAfter(LATENCY_MILLIS, delivery);
	}

	/**
	 * The network as seen by one VM.
	 */
	final class Endpoint implements WireEndpoint {

		private final String vm;

		private final List<ConnectionSide> openSides = new ArrayList<>();

		private PeerInfo self;

		private PeerListener listener;

		private boolean dead;

		Endpoint(String vm) {
			this.vm = vm;
		}

		void kill() {
			this.dead = true;
			List.copyOf(this.openSides).forEach((side) -> side.other.closeLocally(CloseReason.REMOTE));
		}

		@Override
		public CompletableFuture<ListeningSocket> listen(InetSocketAddress address, PeerInfo info,
				PeerSettings settings, PeerListener accepted) {
			this.self = info;
			this.listener = accepted;
			SimWire.this.listeners.put(address, this);
			return CompletableFuture.completedFuture(new ListeningSocket() {

				@Override
				public InetSocketAddress address() {
					return address;
				}

				@Override
				public void close() {
					SimWire.this.listeners.remove(address, Endpoint.this);
				}

			});
		}

		@Override
		public CompletableFuture<PeerConnection> dial(InetSocketAddress address, PeerInfo info, PeerSettings settings,
				PeerListener dialler) {
			CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
			Endpoint remote = SimWire.this.listeners.get(address);
			boolean reachable = remote != null && !remote.dead && !SimWire.this.cut.contains(this.vm)
					&& !SimWire.this.cut.contains(remote.vm);
			if (!reachable) {
				boolean refused = remote != null && remote.dead && !SimWire.this.cut.contains(this.vm)
						&& !SimWire.this.cut.contains(remote.vm);
				CloseReason reason = refused ? CloseReason.REFUSED : CloseReason.IO_ERROR;
				SimWire.this.clock.scheduleAfter(50,
						() -> ready.completeExceptionally(new WireException("sim", reason, "unreachable")));
				return ready;
			}
			SimWire.this.clock.scheduleAfter(2 * LATENCY_MILLIS, () -> {
				// A process that has ended in the meantime is not notified.
				if (remote.dead || this.dead) {
					ready.completeExceptionally(new WireException("sim", CloseReason.REFUSED, "process has ended"));
					return;
				}
				ConnectionSide localSide = new ConnectionSide(this, remote.self, dialler);
				ConnectionSide remoteSide = new ConnectionSide(remote, info, remote.listener);
				localSide.other = remoteSide;
				remoteSide.other = localSide;
				localSide.open();
				remoteSide.open();
				ready.complete(localSide);
			});
			return ready;
		}

	}

	/**
	 * One side of a connection.
	 */
	private final class ConnectionSide implements PeerConnection {

		private final Endpoint owner;

		private final PeerInfo peer;

		private final PeerListener listener;

		private ConnectionSide other;

		private boolean closed;

		private long lastReceivedAt;

		ConnectionSide(Endpoint owner, PeerInfo peer, PeerListener listener) {
			this.owner = owner;
			this.peer = peer;
			this.listener = listener;
		}

		void open() {
			this.owner.openSides.add(this);
			this.lastReceivedAt = SimWire.this.clock.now();
			this.listener.onConnected(this);
			checkHeartbeat();
		}

		private void checkHeartbeat() {
			SimWire.this.clock.scheduleAfter(HEARTBEAT_TIMEOUT_MILLIS / 4, () -> {
				if (this.closed) {
					return;
				}
				if (SimWire.this.clock.now() - this.lastReceivedAt > HEARTBEAT_TIMEOUT_MILLIS) {
					close(CloseReason.SILENT);
					return;
				}
				checkHeartbeat();
			});
		}

		@Override
		public PeerInfo peer() {
			return this.peer;
		}

		@Override
		public boolean send(Message message) {
			if (this.closed || this.owner.dead) {
				return false;
			}
			SimWire.this.deliver(this.owner.vm, this.other.owner.vm, () -> this.other.receive(message));
			return true;
		}

		private void receive(Message message) {
			if (!this.closed && !this.owner.dead) {
				this.lastReceivedAt = SimWire.this.clock.now();
				SimWire.this.messageObserver.accept(this.owner.vm, message);
				this.listener.onMessage(this, message);
			}
		}

		@Override
		public void close(CloseReason reason) {
			if (this.closed) {
				return;
			}
			closeLocally(reason);
			SimWire.this.deliver(this.owner.vm, this.other.owner.vm, () -> this.other.closeLocally(CloseReason.REMOTE));
		}

		private void closeLocally(CloseReason reason) {
			if (!this.closed) {
				this.closed = true;
				this.owner.openSides.remove(this);
				if (!this.owner.dead) {
					this.listener.onDisconnected(this, reason);
				}
			}
		}

	}

}
