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
 * The network between simulated processes. A cut holds bytes back; what is held for
 * longer than the heartbeat timeout ends the connection, and is delivered all the same
 * when the cut heals, as TCP may.
 */
final class SimWire {

	private static final long WAY_MILLIS = 1;

	private static final long SILENCE_MILLIS = 2_500;

	private final VirtualTime time;

	private final Map<InetSocketAddress, Endpoint> listeners = new HashMap<>();

	private final Set<String> cut = new HashSet<>();

	private final Map<String, List<Runnable>> held = new HashMap<>();

	private BiConsumer<String, Message> watcher = (vm, message) -> {
	};

	SimWire(VirtualTime time) {
		this.time = time;
	}

	Endpoint endpoint(String vm) {
		return new Endpoint(vm);
	}

	/**
	 * Shows each message that a process takes.
	 * @param taken told the process's name and the message
	 */
	void watch(BiConsumer<String, Message> taken) {
		this.watcher = taken;
	}

	void cut(String vm, long millis) {
		this.cut.add(vm);
		this.time.after(millis, () -> {
			this.cut.remove(vm);
			List<Runnable> late = this.held.remove(vm);
			if (late != null) {
				late.forEach((delivery) -> this.time.after(WAY_MILLIS, delivery));
			}
		});
	}

	private void deliver(String from, String to, Runnable delivery) {
		String blocked = this.cut.contains(from) ? from : to;
		if (this.cut.contains(blocked)) {
			this.held.computeIfAbsent(blocked, (vm) -> new ArrayList<>()).add(delivery);
			return;
		}
		this.time.after(WAY_MILLIS, delivery);
	}

	/**
	 * The network as one VM sees it.
	 */
	final class Endpoint implements WireEndpoint {

		private final String vm;

		private final List<Side> open = new ArrayList<>();

		private PeerInfo self;

		private PeerListener listener;

		private boolean dead;

		Endpoint(String vm) {
			this.vm = vm;
		}

		void kill() {
			this.dead = true;
			List.copyOf(this.open).forEach((side) -> side.other.lostBy(CloseReason.REMOTE));
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
			Endpoint there = SimWire.this.listeners.get(address);
			boolean reachable = there != null && !there.dead && !SimWire.this.cut.contains(this.vm)
					&& !SimWire.this.cut.contains(there.vm);
			if (!reachable) {
				boolean refused = there != null && there.dead && !SimWire.this.cut.contains(this.vm)
						&& !SimWire.this.cut.contains(there.vm);
				CloseReason reason = refused ? CloseReason.REFUSED : CloseReason.IO_ERROR;
				SimWire.this.time.after(50,
						() -> ready.completeExceptionally(new WireException("sim", reason, "unreachable")));
				return ready;
			}
			SimWire.this.time.after(2 * WAY_MILLIS, () -> {
				// A process that ended meanwhile leaves nobody to find out that it did.
				if (there.dead || this.dead) {
					ready.completeExceptionally(new WireException("sim", CloseReason.REFUSED, "ended"));
					return;
				}
				Side mine = new Side(this, there.self, dialler);
				Side theirs = new Side(there, info, there.listener);
				mine.other = theirs;
				theirs.other = mine;
				mine.begin();
				theirs.begin();
				ready.complete(mine);
			});
			return ready;
		}

	}

	/**
	 * One side of a connection.
	 */
	private final class Side implements PeerConnection {

		private final Endpoint owner;

		private final PeerInfo peer;

		private final PeerListener listener;

		private Side other;

		private boolean closed;

		private long heard;

		Side(Endpoint owner, PeerInfo peer, PeerListener listener) {
			this.owner = owner;
			this.peer = peer;
			this.listener = listener;
		}

		void begin() {
			this.owner.open.add(this);
			this.heard = SimWire.this.time.now();
			this.listener.onConnected(this);
			watch();
		}

		private void watch() {
			SimWire.this.time.after(SILENCE_MILLIS / 4, () -> {
				if (this.closed) {
					return;
				}
				if (SimWire.this.time.now() - this.heard > SILENCE_MILLIS) {
					close(CloseReason.SILENT);
					return;
				}
				watch();
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
			SimWire.this.deliver(this.owner.vm, this.other.owner.vm, () -> this.other.take(message));
			return true;
		}

		private void take(Message message) {
			if (!this.closed && !this.owner.dead) {
				this.heard = SimWire.this.time.now();
				SimWire.this.watcher.accept(this.owner.vm, message);
				this.listener.onMessage(this, message);
			}
		}

		@Override
		public void close(CloseReason reason) {
			if (this.closed) {
				return;
			}
			lostBy(reason);
			SimWire.this.deliver(this.owner.vm, this.other.owner.vm, () -> this.other.lostBy(CloseReason.REMOTE));
		}

		private void lostBy(CloseReason reason) {
			if (!this.closed) {
				this.closed = true;
				this.owner.open.remove(this);
				if (!this.owner.dead) {
					this.listener.onDisconnected(this, reason);
				}
			}
		}

	}

}
