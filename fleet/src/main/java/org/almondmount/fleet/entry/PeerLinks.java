package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.almondmount.fleet.Loop;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Connections to other entries, with calls and their answers. Belongs to the loop's
 * thread.
 */
final class PeerLinks {

	/** A failed address is dialled again after so long, in milliseconds. */
	private static final long REDIAL_MILLIS = 1_000;

	/** Failures in a row after which an address is given up until it is learnt anew. */
	private static final int MOST_FAILURES = 30;

	private final String self;

	private final Loop loop;

	private final Consumer<String> dialler;

	private final Map<String, Peer> peers = new LinkedHashMap<>();

	private final Map<Long, Call> calls = new HashMap<>();

	private long lastCall;

	/**
	 * Makes links without connections.
	 * @param self this entry's own peer address
	 * @param loop the thread
	 * @param dialler dials an address; ends with {@link #opened} or {@link #dialFailed}
	 */
	PeerLinks(String self, Loop loop, Consumer<String> dialler) {
		this.self = self;
		this.loop = loop;
		this.dialler = dialler;
	}

	/**
	 * Takes note of an entry's address and connects to it.
	 * @param address {@code ip:port}
	 */
	void known(String address) {
		if (address.equals(this.self)) {
			return;
		}
		Peer peer = this.peers.computeIfAbsent(address, Peer::new);
		peer.failures = 0;
		dial(peer);
	}

	void opened(PeerConnection connection) {
		Peer peer = this.peers.computeIfAbsent(connection.peer().address(), Peer::new);
		peer.dialling = false;
		peer.failures = 0;
		peer.connections.add(connection);
	}

	void closed(PeerConnection connection) {
		endCallsOn(connection);
		Peer peer = this.peers.get(connection.peer().address());
		if (peer == null) {
			return;
		}
		peer.connections.remove(connection);
		if (peer.connections.isEmpty()) {
			this.loop.after(REDIAL_MILLIS, () -> dial(peer));
		}
	}

	void dialFailed(String address) {
		Peer peer = this.peers.get(address);
		if (peer == null) {
			return;
		}
		peer.dialling = false;
		if (++peer.failures >= MOST_FAILURES) {
			this.peers.remove(address);
			return;
		}
		this.loop.after(REDIAL_MILLIS, () -> dial(peer));
	}

	/**
	 * Addresses of the entries that are connected, and this one's.
	 * @return the addresses
	 */
	List<String> connectedAddresses() {
		List<String> addresses = new ArrayList<>();
		addresses.add(this.self);
		this.peers.values().stream().filter(Peer::connected).forEach((peer) -> addresses.add(peer.address));
		return addresses;
	}

	boolean connectedTo(String address) {
		Peer peer = this.peers.get(address);
		return peer != null && peer.connected();
	}

	/**
	 * Addresses of the other entries that are connected.
	 * @return the addresses
	 */
	List<String> others() {
		return this.peers.values().stream().filter(Peer::connected).map((peer) -> peer.address).toList();
	}

	void broadcast(Message message) {
		this.peers.values().forEach((peer) -> peer.last().ifPresent((connection) -> connection.send(message)));
	}

	/**
	 * Calls another entry.
	 * @param address its address
	 * @param method what is asked
	 * @param subject what it is about
	 * @param body further bytes, maybe none
	 * @param withinMillis after which the call is given up
	 * @return the answer, or empty where none came
	 */
	CompletableFuture<Optional<Message.ForwardAnswer>> call(String address, String method, String subject, byte[] body,
			long withinMillis) {
		CompletableFuture<Optional<Message.ForwardAnswer>> answer = new CompletableFuture<>();
		Optional<PeerConnection> connection = Optional.ofNullable(this.peers.get(address)).flatMap(Peer::last);
		long id = ++this.lastCall;
		Message.Forward call = new Message.Forward(id, "", method, subject, body, Map.of());
		if (connection.isEmpty() || !connection.get().send(call)) {
			answer.complete(Optional.empty());
			return answer;
		}
		this.calls.put(id, new Call(connection.get(), answer));
		this.loop.after(withinMillis, () -> {
			this.calls.remove(id);
			answer.complete(Optional.empty());
		});
		return answer;
	}

	void answered(Message.ForwardAnswer answer) {
		Call waiting = this.calls.remove(answer.id());
		if (waiting != null) {
			waiting.answer().complete(Optional.of(answer));
		}
	}

	// No answer comes on a connection that is gone; whoever waits goes another way.
	private void endCallsOn(PeerConnection connection) {
		List<Call> ended = this.calls.values().stream().filter((call) -> call.connection() == connection).toList();
		this.calls.values().removeAll(ended);
		ended.forEach((call) -> call.answer().complete(Optional.empty()));
	}

	private void dial(Peer peer) {
		if (peer.connected() || peer.dialling || !this.peers.containsKey(peer.address)) {
			return;
		}
		peer.dialling = true;
		this.dialler.accept(peer.address);
	}

	/**
	 * A call that is not answered yet.
	 */
	private record Call(PeerConnection connection, CompletableFuture<Optional<Message.ForwardAnswer>> answer) {
	}

	/**
	 * Another entry.
	 */
	private static final class Peer {

		private final String address;

		private final List<PeerConnection> connections = new ArrayList<>();

		private boolean dialling;

		private int failures;

		Peer(String address) {
			this.address = address;
		}

		boolean connected() {
			return !this.connections.isEmpty();
		}

		Optional<PeerConnection> last() {
			return this.connections.isEmpty() ? Optional.empty()
					: Optional.of(this.connections.get(this.connections.size() - 1));
		}

	}

}
