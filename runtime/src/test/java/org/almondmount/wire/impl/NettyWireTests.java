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

class NettyWireTests {

	private static final String KEY = "a key that both sides know";

	/** A timeout that no test waits for: longer than a busy machine holds a thread up. */
	private static final Duration LONG = Duration.ofSeconds(20);

	private static final PeerSettings SETTINGS = new PeerSettings(KEY, LONG, LONG, 100_000, 200_000);

	private static final Message SMALL = new Message.SlotsLent(4);

	private final IoThreads io = new IoThreads("test-io", 2);

	private final Telemetry telemetry = new Telemetry();

	private final NettyWire wire = new NettyWire(this.io, this.telemetry);

	private final RecordingListener atEntry = new RecordingListener();

	private final RecordingListener atTarget = new RecordingListener();

	private WireEndpoint.Listening place;

	@BeforeEach
	void listen() {
		listen(SETTINGS);
	}

	@AfterEach
	void stop() {
		this.place.close();
		this.io.close();
	}

	@Test
	void eachSideLearnsWhoTheOtherIs() {
		PeerConnection connection = dial(SETTINGS);
		assertThat(connection.peer()).isEqualTo(Samples.entry("entry-1"));
		Awaitility.await().until(() -> this.atEntry.opened().size() == 1);
		assertThat(this.atEntry.opened().get(0).peer()).isEqualTo(Samples.target("worker-1"));
	}

	@Test
	void messagesOfAllKindsArriveInOrder() {
		PeerConnection connection = dial(SETTINGS);
		Samples.ALL.forEach((message) -> assertThat(connection.send(message)).isTrue());
		Awaitility.await().until(() -> this.atEntry.received().size() == Samples.ALL.size());
		assertThat(this.atEntry.received()).usingRecursiveComparison().isEqualTo(Samples.ALL);
	}

	@Test
	void aPeerWithAnotherKeyIsRejectedAndHearsWhy() {
		WireException failure = dialFailure(new PeerSettings("another key altogether", LONG, LONG, 100_000, 200_000));
		assertThat(failure.reason()).isEqualTo(CloseReason.WRONG_KEY);
		assertThat(this.atEntry.opened()).isEmpty();
	}

	@Test
	void aPeerOfAnotherVersionIsRejected() throws IOException {
		try (Socket stranger = connect()) {
			FrameWriter hello = new FrameWriter().array(4).text("almondmount").number(98).number(99);
			sendFrame(stranger, hello.bytes(new byte[32]).toBytes());
			assertThat(stranger.getInputStream().readAllBytes()).asString().contains("WRONG_VERSION");
			Awaitility.await().until(() -> count("wire.closed.wrong-version") == 1);
		}
	}

	@Test
	void aStrangerThatEchoesOurProofIsNotLetIn() throws IOException {
		// A stranger without the key sends our own bytes back to us: our hello as its
		// hello and our proof as its proof. The proof is made over the side as well, so
		// it fails.
		try (ServerSocket stranger = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
			CompletableFuture<PeerConnection> dialled = this.wire.dial(
					(InetSocketAddress) stranger.getLocalSocketAddress(), Samples.target("worker-1"), SETTINGS,
					this.atTarget);
			try (Socket socket = stranger.accept()) {
				sendFrame(socket, readFrame(socket));
				sendFrame(socket, readFrame(socket));
				assertThat(failure(dialled).reason()).isEqualTo(CloseReason.WRONG_KEY);
			}
		}
	}

	@Test
	void aStrangerThatSaysNothingIsCutAtTheHandshakeTimeout() throws IOException {
		this.place.close();
		listen(new PeerSettings(KEY, LONG, Duration.ofMillis(500), 100_000, 200_000));
		try (Socket stranger = connect()) {
			assertThat(stranger.getInputStream().read()).isEqualTo(-1);
			Awaitility.await().until(() -> count("wire.closed.handshake-timeout") == 1);
		}
	}

	@Test
	void aStrangerGetsNoLargeFrames() throws IOException {
		try (Socket stranger = connect()) {
			new DataOutputStream(stranger.getOutputStream()).writeInt(50_000);
			stranger.getInputStream().readAllBytes();
			Awaitility.await().until(() -> count("wire.closed.frame-too-large") == 1);
		}
	}

	@Test
	void badBytesCloseThatConnectionAndHarmNoOther() throws IOException {
		// One connection brings junk. It is closed and counted; the connection beside it
		// goes on as if nothing had been.
		PeerConnection good = dial(SETTINGS);
		try (Socket stranger = connect()) {
			sendFrame(stranger, new byte[] { (byte) 0xc1, 5, 6 });
			stranger.getInputStream().readAllBytes();
		}
		Awaitility.await().until(() -> count("wire.closed.bad-bytes") == 1);
		assertThat(good.send(SMALL)).isTrue();
		Awaitility.await().until(() -> this.atEntry.received().contains(SMALL));
	}

	@Test
	void aPeerThatFallsSilentIsDroppedAndTheListenerHearsItOnce() {
		// The peer's process is frozen or something between has lost the connection: no
		// bytes, no end. The heartbeat timeout ends it, long before TCP would.
		this.place.close();
		listen(new PeerSettings(KEY, Duration.ofMillis(300), LONG, 100_000, 200_000));
		PeerConnection connection = dial(SETTINGS);
		Awaitility.await().until(() -> this.atEntry.closed().equals(List.of(CloseReason.SILENT)));
		Awaitility.await().until(() -> this.atTarget.closed().equals(List.of(CloseReason.REMOTE)));
		assertThat(connection.send(SMALL)).isFalse();
	}

	@Test
	void aConnectionThatBringsMessagesStaysOpen() {
		this.place.close();
		listen(new PeerSettings(KEY, Duration.ofMillis(300), LONG, 100_000, 200_000));
		PeerConnection connection = dial(SETTINGS);
		Awaitility.await().pollInterval(Duration.ofMillis(50)).during(Duration.ofMillis(900)).until(() -> {
			connection.send(SMALL);
			return this.atEntry.closed().isEmpty();
		});
	}

	@Test
	void aMessageOverTheFrameLimitIsNotTaken() {
		PeerConnection connection = dial(SETTINGS);
		assertThat(connection.send(answer(150_000))).isFalse();
		assertThat(count("wire.refused.too-large")).isEqualTo(1);
		assertThat(connection.send(SMALL)).isTrue();
	}

	@Test
	void aPeerThatDoesNotReadMakesSendRefuse() throws IOException {
		// The peer takes nothing from the network. What waits for it is bounded: beyond
		// the bound send says false and nothing of that message will be sent.
		Handshake handshake = new Handshake(true, SETTINGS.sharedKey(), Samples.target("worker-1"), "test");
		try (Socket lazy = connect()) {
			sendFrame(lazy, handshake.hello());
			handshake.takeHello(readFrame(lazy));
			sendFrame(lazy, handshake.proof());
			Awaitility.await().until(() -> this.atEntry.opened().size() == 1);
			PeerConnection connection = this.atEntry.opened().get(0);
			Awaitility.await().pollInterval(Duration.ofMillis(1)).until(() -> !connection.send(answer(90_000)));
			assertThat(count("wire.refused.backlog")).isPositive();
		}
	}

	@Test
	void closingTellsBothSides() {
		PeerConnection connection = dial(SETTINGS);
		Awaitility.await().until(() -> this.atEntry.opened().size() == 1);
		connection.close(CloseReason.REPLACED);
		Awaitility.await().until(() -> this.atTarget.closed().equals(List.of(CloseReason.REPLACED)));
		Awaitility.await().until(() -> this.atEntry.closed().equals(List.of(CloseReason.REMOTE)));
	}

	@Test
	void dialingWhereNobodyListensFails() {
		this.place.close();
		Awaitility.await().until(() -> dialFailure(SETTINGS).reason() == CloseReason.REFUSED);
	}

	private void listen(PeerSettings settings) {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		this.place = this.wire.listen(any, Samples.entry("entry-1"), settings, this.atEntry).join();
	}

	private PeerConnection dial(PeerSettings settings) {
		return this.wire.dial(this.place.address(), Samples.target("worker-1"), settings, this.atTarget).join();
	}

	private WireException dialFailure(PeerSettings settings) {
		return failure(this.wire.dial(this.place.address(), Samples.target("worker-1"), settings, this.atTarget));
	}

	private static WireException failure(CompletableFuture<PeerConnection> dialled) {
		CompletionException failed = catchThrowableOfType(CompletionException.class, dialled::join);
		return (WireException) failed.getCause();
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setSoTimeout(5_000);
		socket.connect(this.place.address());
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
