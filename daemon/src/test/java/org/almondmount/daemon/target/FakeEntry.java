package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.WireEndpoint;

/**
 * An entry that answers heartbeats and keeps what it hears.
 */
final class FakeEntry implements PeerListener, AutoCloseable {

	private final List<Message> heard = new CopyOnWriteArrayList<>();

	private final AtomicReference<PeerConnection> connection = new AtomicReference<>();

	private final WireEndpoint.ListeningSocket listening;

	private final List<String> known = new CopyOnWriteArrayList<>();

	private volatile boolean answers = true;

	private volatile Configuration configuration = Configuration.EMPTY.withRevision(1);

	FakeEntry(WireEndpoint wire, String name, int port, PeerSettings settings) {
		String address = "127.0.0.1:" + port;
		PeerInfo self = new PeerInfo(PeerInfo.Role.ENTRY, name, address, "z", Optional.empty(), 0, 1);
		this.listening = wire.listen(new InetSocketAddress("127.0.0.1", port), self, settings, this).join();
		this.known.add(address);
	}

	InetSocketAddress address() {
		return this.listening.address();
	}

	void knows(String address) {
		this.known.add(address);
	}

	void answersHeartbeats(boolean answersFromNowOn) {
		this.answers = answersFromNowOn;
	}

	void send(Message message) {
		this.connection.get().send(message);
	}

	void call(String request, int attempt, long remainingMillis) {
		send(new Message.Call(new RequestId(request), attempt, new CustomerId("anna"), remainingMillis, "/code",
				Map.of(), request.getBytes(StandardCharsets.UTF_8)));
	}

	boolean isLinked() {
		return this.connection.get() != null;
	}

	<T extends Message> List<T> heard(Class<T> kind) {
		List<T> found = new ArrayList<>();
		for (Message message : this.heard) {
			if (kind.isInstance(message)) {
				found.add(kind.cast(message));
			}
		}
		return found;
	}

	@Override
	public void onConnected(PeerConnection opened) {
		this.connection.set(opened);
	}

	@Override
	public void onMessage(PeerConnection from, Message message) {
		this.heard.add(message);
		if (message instanceof Message.Heartbeat beat && this.answers) {
			from.send(new Message.HeartbeatReply(beat.sequence(), this.configuration.revision(), 3_000, List.of(),
					List.of(), List.copyOf(this.known)));
		}
		else if (message instanceof Message.ConfigurationWanted) {
			from.send(new Message.ConfigurationPush(this.configuration));
		}
	}

	@Override
	public void onDisconnected(PeerConnection gone, CloseReason reason) {
		this.connection.compareAndSet(gone, null);
	}

	@Override
	public void close() {
		this.listening.close();
		PeerConnection open = this.connection.get();
		if (open != null) {
			open.close(CloseReason.LOCAL);
		}
	}

}
