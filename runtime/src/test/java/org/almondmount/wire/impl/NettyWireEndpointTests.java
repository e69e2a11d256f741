package org.almondmount.wire.impl;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.almondmount.model.RequestId;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.wire.WireException;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class NettyWireEndpointTests {

	private static final String SHARED_KEY = "a key that both sides know";

	/**
	 * A timeout that never expires in a test: longer than the delay of a thread on a busy
	 * machine.
	 */
	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

	private static final PeerSettings SETTINGS = new PeerSettings(SHARED_KEY, LONG_TIMEOUT, LONG_TIMEOUT, 100_000,
			200_000);

	private static final Message SMALL_MESSAGE = new Message.SlotsLent(4);

	private final IoThreads io = new IoThreads("test-io", 2);

	private final Telemetry telemetry = new Telemetry();

	private final NettyWireEndpoint endpoint = new NettyWireEndpoint(this.io, this.telemetry);

	private final RecordingListener entryListener = new RecordingListener();

	private final RecordingListener targetListener = new RecordingListener();

	private WireEndpoint.ListeningSocket listeningSocket;

	@BeforeEach
	void listen() {
		listen(SETTINGS);
	}

	@AfterEach
	void stop() {
		this.listeningSocket.close();
		this.io.close();
	}

	@Test
	void handshakeExchangesPeerInfo() {
		PeerConnection connection = dial(SETTINGS);
		assertThat(connection.peer()).isEqualTo(MessageSamples.entry("entry-1"));
		Awaitility.await().until(() -> this.entryListener.opened().size() == 1);
		assertThat(this.entryListener.opened().get(0).peer()).isEqualTo(MessageSamples.target("worker-1"));
	}

	@Test
	void messagesOfAllKindsArriveInOrder() {
		PeerConnection connection = dial(SETTINGS);
		MessageSamples.ALL.forEach((message) -> assertThat(connection.send(message)).isTrue());
		Awaitility.await().until(() -> this.entryListener.received().size() == MessageSamples.ALL.size());
		assertThat(this.entryListener.received()).usingRecursiveComparison().isEqualTo(MessageSamples.ALL);
	}

	@Test
	void peerWithDifferentKeyIsRejectedWithReason() {
		WireException failure = dialFailure(
				new PeerSettings("another key altogether", LONG_TIMEOUT, LONG_TIMEOUT, 100_000, 200_000));
		assertThat(failure.reason()).isEqualTo(CloseReason.WRONG_KEY);
		assertThat(this.entryListener.opened()).isEmpty();
	}

	@Test
	void peerWithUnsupportedVersionIsRejected() throws IOException {
		try (Socket peer = connect()) {
			FrameWriter hello = new FrameWriter().writeArrayHeader(4)
				.writeString("almondmount")
				.writeLong(98)
				.writeLong(99);
			sendFrame(peer, hello.writeBytes(new byte[32]).toBytes());
			assertThat(peer.getInputStream().readAllBytes()).asString().contains("WRONG_VERSION");
			Awaitility.await().until(() -> count("wire.closed.wrong-version") == 1);
		}
	}

	@Test
	void reflectedProofIsRejected() throws IOException {
		// An attacker without the key reflects the dialer's hello and proof as its own.
		// The proof also covers the side that made it, so the verification fails.
		try (ServerSocket attacker = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
			CompletableFuture<PeerConnection> dialled = this.endpoint.dial(
					(InetSocketAddress) attacker.getLocalSocketAddress(), MessageSamples.target("worker-1"), SETTINGS,
					this.targetListener);
			try (Socket socket = attacker.accept()) {
				sendFrame(socket, readFrame(socket));
				sendFrame(socket, readFrame(socket));
				assertThat(failure(dialled).reason()).isEqualTo(CloseReason.WRONG_KEY);
			}
		}
	}

	@Test
	void silentPeerIsClosedAtHandshakeTimeout() throws IOException {
		this.listeningSocket.close();
		listen(new PeerSettings(SHARED_KEY, LONG_TIMEOUT, Duration.ofMillis(500), 100_000, 200_000));
		try (Socket peer = connect()) {
			assertThat(peer.getInputStream().read()).isEqualTo(-1);
			Awaitility.await().until(() -> count("wire.closed.handshake-timeout") == 1);
		}
	}

	@Test
	void largeFrameBeforeHandshakeIsRejected() throws IOException {
		try (Socket peer = connect()) {
			new DataOutputStream(peer.getOutputStream()).writeInt(50_000);
			peer.getInputStream().readAllBytes();
			Awaitility.await().until(() -> count("wire.closed.frame-too-large") == 1);
		}
	}

	@Test
	void badBytesCloseOnlyTheirOwnConnection() throws IOException {
		// One connection receives invalid bytes. It is closed and counted; another
		// connection of the same endpoint is not affected.
		PeerConnection otherConnection = dial(SETTINGS);
		try (Socket peer = connect()) {
			sendFrame(peer, new byte[] { (byte) 0xc1, 5, 6 });
			peer.getInputStream().readAllBytes();
		}
		Awaitility.await().until(() -> count("wire.closed.bad-bytes") == 1);
		assertThat(otherConnection.send(SMALL_MESSAGE)).isTrue();
		Awaitility.await().until(() -> this.entryListener.received().contains(SMALL_MESSAGE));
	}

	@Test
	void silentPeerIsDisconnectedAndReportedOnce() {
		// The peer's process is frozen, or a device in between has dropped the
		// connection: neither bytes nor an end of stream arrive. The heartbeat timeout
		// closes the connection long before TCP would.
		this.listeningSocket.close();
		listen(new PeerSettings(SHARED_KEY, Duration.ofMillis(300), LONG_TIMEOUT, 100_000, 200_000));
		PeerConnection connection = dial(SETTINGS);
		Awaitility.await().until(() -> this.entryListener.closed().equals(List.of(CloseReason.SILENT)));
		Awaitility.await().until(() -> this.targetListener.closed().equals(List.of(CloseReason.REMOTE)));
		assertThat(connection.send(SMALL_MESSAGE)).isFalse();
	}

	@Test
	void connectionThatReceivesMessagesStaysOpen() {
		this.listeningSocket.close();
		listen(new PeerSettings(SHARED_KEY, Duration.ofMillis(300), LONG_TIMEOUT, 100_000, 200_000));
		PeerConnection connection = dial(SETTINGS);
		Awaitility.await().pollInterval(Duration.ofMillis(50)).during(Duration.ofMillis(900)).until(() -> {
			connection.send(SMALL_MESSAGE);
			return this.entryListener.closed().isEmpty();
		});
	}

	@Test
	void messageOverFrameLimitIsNotSent() {
		PeerConnection connection = dial(SETTINGS);
		assertThat(connection.send(answer(150_000))).isFalse();
		assertThat(count("wire.refused.too-large")).isEqualTo(1);
		assertThat(connection.send(SMALL_MESSAGE)).isTrue();
	}

	@Test
	void sendIsRefusedWhenPeerDoesNotRead() throws IOException {
		// The peer reads nothing from the network. The outstanding bytes are bounded:
		// beyond the bound send returns false and no part of that message is sent.
		Handshake handshake = new Handshake(true, SETTINGS.sharedKey(), MessageSamples.target("worker-1"), "test");
		try (Socket peer = connect()) {
			sendFrame(peer, handshake.helloFrame());
			handshake.receiveHello(readFrame(peer));
			sendFrame(peer, handshake.proofFrame());
			Awaitility.await().until(() -> this.entryListener.opened().size() == 1);
			PeerConnection connection = this.entryListener.opened().get(0);
			Awaitility.await().pollInterval(Duration.ofMillis(1)).until(() -> !connection.send(answer(90_000)));
			assertThat(count("wire.refused.backlog")).isPositive();
		}
	}

	@Test
	void closeNotifiesBothSides() {
		PeerConnection connection = dial(SETTINGS);
		Awaitility.await().until(() -> this.entryListener.opened().size() == 1);
		connection.close(CloseReason.REPLACED);
		Awaitility.await().until(() -> this.targetListener.closed().equals(List.of(CloseReason.REPLACED)));
		Awaitility.await().until(() -> this.entryListener.closed().equals(List.of(CloseReason.REMOTE)));
	}

	@Test
	void dialingUnboundAddressFails() {
		this.listeningSocket.close();
		Awaitility.await().until(() -> dialFailure(SETTINGS).reason() == CloseReason.REFUSED);
	}

	private void listen(PeerSettings settings) {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		this.listeningSocket = this.endpoint.listen(any, MessageSamples.entry("entry-1"), settings, this.entryListener)
			.join();
	}

	private PeerConnection dial(PeerSettings settings) {
		return this.endpoint
			.dial(this.listeningSocket.address(), MessageSamples.target("worker-1"), settings, this.targetListener)
			.join();
	}

	private WireException dialFailure(PeerSettings settings) {
		return failure(this.endpoint.dial(this.listeningSocket.address(), MessageSamples.target("worker-1"), settings,
				this.targetListener));
	}

	private static WireException failure(CompletableFuture<PeerConnection> dialled) {
		CompletionException failed = catchThrowableOfType(CompletionException.class, dialled::join);
		return (WireException) failed.getCause();
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setSoTimeout(5_000);
		socket.connect(this.listeningSocket.address());
		return socket;
	}

	private long count(String counter) {
		return this.telemetry.registry().counter(counter).getCount();
	}

	private static Message answer(int bytes) {
		return new Message.CallAnswer(new RequestId("r-1"), 1, 200, Map.of(), new byte[bytes]);
	}

	private static void sendFrame(Socket socket, byte[] frame) throws IOException {
		DataOutputStream out = new DataOutputStream(socket.getOutputStream());
		out.writeInt(frame.length);
		out.write(frame);
		out.flush();
	}

	private static byte[] readFrame(Socket socket) throws IOException {
		DataInputStream in = new DataInputStream(socket.getInputStream());
		byte[] frame = new byte[in.readInt()];
		in.readFully(frame);
		return frame;
	}

}
