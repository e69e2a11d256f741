package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.almondmount.fleet.EventLoop;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Connections to other entries, with calls and their answers. Confined to the event loop
 * thread.
 */
final class PeerLinks {

	/** Delay before a failed address is dialled again, in milliseconds. */
	private static final long REDIAL_DELAY_MILLIS = 1_000;

	/** Consecutive failures after which an address is removed until it is added again. */
	private static final int MAX_CONSECUTIVE_FAILURES = 30;

	private final String ownAddress;

	private final EventLoop loop;

	private final Consumer<String> dialler;

	private final Map<String, Peer> peers = new LinkedHashMap<>();

	private final Map<Long, PendingCall> pendingCalls = new HashMap<>();

	private long lastCallId;

	/**
	 * Creates links without connections.
	 * @param ownAddress the peer address of this entry
	 * @param loop the event loop
	 * @param dialler dials an address; followed by {@link #onConnected} or
	 * {@link #dialFailed}
	 */
	PeerLinks(String ownAddress, EventLoop loop, Consumer<String> dialler) {
		this.ownAddress = ownAddress;
		this.loop = loop;
		this.dialler = dialler;
	}

	/**
	 * Adds the address of an entry and connects to it.
	 * @param address {@code ip:port}
	 */
	void addAddress(String address) {
		if (address.equals(this.ownAddress)) {
			return;
		}
		Peer peer = this.peers.computeIfAbsent(address, Peer::new);
		peer.consecutiveFailures = 0;
		dial(peer);
	}

	void onConnected(PeerConnection connection) {
		Peer peer = this.peers.computeIfAbsent(connection.peer().address(), Peer::new);
		peer.dialling = false;
		peer.consecutiveFailures = 0;
		peer.connections.add(connection);
	}

	void onDisconnected(PeerConnection connection) {
		failCallsOn(connection);
		Peer peer = this.peers.get(connection.peer().address());
		if (peer == null) {
			return;
		}
		peer.connections.remove(connection);
		if (peer.connections.isEmpty()) {
			this.loop.schedule(REDIAL_DELAY_MILLIS, () -> dial(peer));
		}
	}

	void dialFailed(String address) {
		Peer peer = this.peers.get(address);
		if (peer == null) {
			return;
		}
		peer.dialling = false;
		if (++peer.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
			this.peers.remove(address);
			return;
		}
		this.loop.schedule(REDIAL_DELAY_MILLIS, () -> dial(peer));
	}

	/**
	 * Returns the addresses of the connected entries and of this one.
	 * @return the addresses
	 */
	List<String> connectedAddresses() {
		List<String> addresses = new ArrayList<>();
		addresses.add(this.ownAddress);
		this.peers.values().stream().filter(Peer::isConnected).forEach((peer) -> addresses.add(peer.address));
		return addresses;
	}

	boolean isConnectedTo(String address) {
		Peer peer = this.peers.get(address);
		return peer != null && peer.isConnected();
	}

	/**
	 * Returns the addresses of the other entries that are connected.
	 * @return the addresses
	 */
	List<String> otherConnectedAddresses() {
		return this.peers.values().stream().filter(Peer::isConnected).map((peer) -> peer.address).toList();
	}

	void broadcast(Message message) {
		this.peers.values()
			.forEach((peer) -> peer.latestConnection().ifPresent((connection) -> connection.send(message)));
	}

	/**
	 * Calls another entry.
	 * @param address the address of the entry
	 * @param method the method
	 * @param subject the job or queue concerned
	 * @param body additional bytes, may be empty
	 * @param timeoutMillis the timeout of the call
	 * @return the answer, or empty if none arrived
	 */
	CompletableFuture<Optional<Message.ForwardAnswer>> call(String address, String method, String subject, byte[] body,
			long timeoutMillis) {
		CompletableFuture<Optional<Message.ForwardAnswer>> answer = new CompletableFuture<>();
		Optional<PeerConnection> connection = Optional.ofNullable(this.peers.get(address))
			.flatMap(Peer::latestConnection);
		long id = ++this.lastCallId;
		Message.Forward call = new Message.Forward(id, "", method, subject, body, Map.of());
		if (connection.isEmpty() || !connection.get().send(call)) {
			answer.complete(Optional.empty());
			return answer;
		}
		this.pendingCalls.put(id, new PendingCall(connection.get(), answer));
		this.loop.schedule(timeoutMillis, () -> {
			this.pendingCalls.remove(id);
			answer.complete(Optional.empty());
		});
		return answer;
	}

	void onAnswer(Message.ForwardAnswer answer) {
		PendingCall pendingCall = this.pendingCalls.remove(answer.id());
		if (pendingCall != null) {
			pendingCall.answer().complete(Optional.of(answer));
		}
	}

	// A lost connection delivers no more answers, so its callers continue without one.
	private void failCallsOn(PeerConnection connection) {
		List<PendingCall> failedCalls = this.pendingCalls.values()
			.stream()
			.filter((call) -> call.connection() == connection)
			.toList();
		this.pendingCalls.values().removeAll(failedCalls);
		failedCalls.forEach((call) -> call.answer().complete(Optional.empty()));
	}

	private void dial(Peer peer) {
		if (peer.isConnected() || peer.dialling || !this.peers.containsKey(peer.address)) {
			return;
		}
		peer.dialling = true;
		this.dialler.accept(peer.address);
	}

	/**
	 * A call without an answer so far.
	 */
	private record PendingCall(PeerConnection connection, CompletableFuture<Optional<Message.ForwardAnswer>> answer) {
	}

	/**
	 * Another entry.
	 */
	private static final class Peer {

		private final String address;

		private final List<PeerConnection> connections = new ArrayList<>();

		private boolean dialling;

		private int consecutiveFailures;

		Peer(String address) {
			this.address = address;
		}

		boolean isConnected() {
			return !this.connections.isEmpty();
		}

		Optional<PeerConnection> latestConnection() {
			return this.connections.isEmpty() ? Optional.empty()
					: Optional.of(this.connections.get(this.connections.size() - 1));
		}

	}

}
