package org.almondmount.http.impl;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpFailure;
import org.almondmount.http.InstanceCheck;
import org.almondmount.http.OtherInstanceFailure;
import org.almondmount.net.IoThreads;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class NettyHttpClientTests {

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

	private static final String OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

	private final IoThreads io = new IoThreads("test-io", 1);

	private final NettyHttpClient client = new NettyHttpClient(this.io, 1, 4_096);

	private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread acceptor = new Thread(this::acceptAll, "test-acceptor");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.server.close();
		this.io.close();
	}

	@Test
	void aConnectionIsReusedAfterACompleteAnswer() throws Exception {
		CompletableFuture<HttpAnswer> first = send("/1", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, OK);
		assertThat(first.get().status()).isEqualTo(200);
		CompletableFuture<HttpAnswer> second = send("/2", LONG_TIMEOUT);
		reply(connection, OK);
		assertThat(second.get().body()).isEqualTo("ok".getBytes(StandardCharsets.UTF_8));
		assertThat(this.accepted).isEmpty();
	}

	@Test
	void callsBeyondThePoolWaitForAConnection() throws Exception {
		CompletableFuture<HttpAnswer> first = send("/1", LONG_TIMEOUT);
		CompletableFuture<HttpAnswer> second = send("/2", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, OK);
		reply(connection, OK);
		assertThat(first.get().status()).isEqualTo(200);
		assertThat(second.get().status()).isEqualTo(200);
	}

	@Test
	void aTruncatedBodyIsAFailureThatMayHaveArrived() throws Exception {
		// The server closes the connection in the middle of its answer. A truncated body
		// must not be accepted as complete, and the failure must state that the server
		// may have received the call.
		CompletableFuture<HttpAnswer> answer = send("/", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
		connection.close();
		assertThat(failure(answer).mayHaveArrived()).isTrue();
	}

	@Test
	void aTruncatedChunkedBodyIsAFailure() throws Exception {
		CompletableFuture<HttpAnswer> answer = send("/", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
		connection.close();
		assertThat(failure(answer).mayHaveArrived()).isTrue();
	}

	@Test
	void anAnswerWithoutLengthIsAFailureBecauseTruncationIsUndetectable() throws Exception {
		CompletableFuture<HttpAnswer> answer = send("/", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, "HTTP/1.1 200 OK\r\n\r\nwho knows");
		connection.close();
		assertThat(failure(answer)).hasMessageContaining("no length");
	}

	@Test
	void aRefusedConnectionMeansThatNothingArrived() throws Exception {
		// A bound socket that does not listen keeps the port occupied. A port that was
		// only released could be bound by another process before the call, which would
		// then wait for that process.
		try (Socket taken = new Socket()) {
			taken.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			InetSocketAddress unusedAddress = (InetSocketAddress) taken.getLocalSocketAddress();
			HttpCall call = new HttpCall("GET", "/", Map.of(), new byte[0]);
			HttpFailure refused = failure(this.client.send(unusedAddress, call, LONG_TIMEOUT));
			assertThat(refused.mayHaveArrived()).isFalse();
			assertThat(refused.connectionRefused()).isTrue();
		}
	}

	// Guards against a live server that is taken for gone: the only connection of the
	// pool is in use, so the second call is never sent.
	@Test
	void aCallThatGetsNoConnectionFromAFullPoolIsNotRefused() throws Exception {
		CompletableFuture<HttpAnswer> first = send("/1", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		HttpFailure unsent = failure(send("/2", Duration.ofMillis(100)));
		assertThat(unsent.mayHaveArrived()).isFalse();
		assertThat(unsent.connectionRefused()).isFalse();
		reply(connection, OK);
		assertThat(first.get().status()).isEqualTo(200);
	}

	// Guards against a live server that is taken for gone: it accepts nothing for a while
	// and its backlog is full, so connection attempts get no reply until they time out.
	@Test
	void aConnectionAttemptThatTimesOutIsNotRefused() throws Exception {
		List<Socket> backlog = new ArrayList<>();
		try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			InetSocketAddress address = (InetSocketAddress) busy.getLocalSocketAddress();
			fillBacklog(address, backlog);
			HttpCall call = new HttpCall("GET", "/", Map.of(), new byte[0]);
			HttpFailure timedOut = failure(this.client.send(address, call, LONG_TIMEOUT));
			assertThat(timedOut).hasMessageContaining("connection failed");
			assertThat(timedOut.mayHaveArrived()).isFalse();
			assertThat(timedOut.connectionRefused()).isFalse();
		}
		finally {
			for (Socket socket : backlog) {
				socket.close();
			}
		}
	}

	@Test
	void aLateAnswerNeverReachesTheNextCall() throws Exception {
		// The first call times out and its answer arrives late on the same connection. If
		// the connection were reused, the second call would receive the answer to the
		// first.
		CompletableFuture<HttpAnswer> first = send("/1", Duration.ofMillis(100));
		Socket connection = this.accepted.take();
		assertThat(failure(first).mayHaveArrived()).isTrue();
		CompletableFuture<HttpAnswer> second = send("/2", LONG_TIMEOUT);
		Socket next = this.accepted.take();
		try {
			reply(connection, OK.replace("ok", "no"));
		}
		catch (IOException ex) {
			assertThat(connection.isConnected()).isTrue();
		}
		reply(next, OK);
		assertThat(second.get().body()).isEqualTo("ok".getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void anAnswerOverTheSizeLimitIsAFailure() throws Exception {
		CompletableFuture<HttpAnswer> answer = send("/", LONG_TIMEOUT);
		reply(this.accepted.take(), "HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n" + "x".repeat(9_000));
		assertThat(failure(answer)).hasMessageContaining("larger");
	}

	@Test
	void aHeaderWithLineBreaksIsNotSent() {
		HttpCall call = new HttpCall("GET", "/", Map.of("x", "a\r\nb: c"), new byte[0]);
		assertThat(failure(this.client.send(address(), call, LONG_TIMEOUT)).mayHaveArrived()).isFalse();
	}

	@Test
	void aCallAfterThreadTerminationFailsUnsent() {
		this.io.close();
		Awaitility.await().until(() -> this.io.group().isTerminated());
		assertThat(failure(send("/", LONG_TIMEOUT)).mayHaveArrived()).isFalse();
	}

	@Test
	void cancellingClosesTheConnection() throws Exception {
		CompletableFuture<HttpAnswer> answer = send("/", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		assertThat(connection.getInputStream().read()).isPositive();
		answer.cancel(false);
		while (connection.getInputStream().read() >= 0) {
			assertThat(answer).isCancelled();
		}
	}

	@Test
	void aConnectionIsCheckedOnceForAnInstance() throws Exception {
		CompletableFuture<HttpAnswer> first = sendToInstance("a", "/1", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		assertThat(reply(connection, instance("a"))).startsWith("GET /check");
		assertThat(reply(connection, OK)).startsWith("GET /1");
		assertThat(first.get().status()).isEqualTo(200);
		CompletableFuture<HttpAnswer> second = sendToInstance("a", "/2", LONG_TIMEOUT);
		assertThat(reply(connection, OK)).startsWith("GET /2");
		assertThat(second.get().status()).isEqualTo(200);
	}

	// Guards against a call that reaches another instance than it is meant for.
	@Test
	void aCallIsNotSentToAnotherInstance() throws Exception {
		CompletableFuture<HttpAnswer> meant = sendToInstance("a", "/1", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, instance("b"));
		HttpFailure failure = failure(meant);
		assertThat(failure.mayHaveArrived()).isFalse();
		assertThat(failure).isInstanceOfSatisfying(OtherInstanceFailure.class,
				(other) -> assertThat(other.answer().body()).isEqualTo("b".getBytes(StandardCharsets.UTF_8)));
		CompletableFuture<HttpAnswer> next = sendToInstance("b", "/2", LONG_TIMEOUT);
		assertThat(reply(connection, OK)).startsWith("GET /2");
		assertThat(next.get().status()).isEqualTo(200);
	}

	// Guards against a check without an answer that occupies a connection for good.
	@Test
	void anUnansweredCheckEndsTheConnectionAndTheCallIsNotSent() throws Exception {
		CompletableFuture<HttpAnswer> unchecked = sendToInstance("a", "/1", Duration.ofMillis(100));
		this.accepted.take();
		assertThat(failure(unchecked).mayHaveArrived()).isFalse();
		CompletableFuture<HttpAnswer> next = sendToInstance("a", "/2", LONG_TIMEOUT);
		Socket connection = this.accepted.take();
		reply(connection, instance("a"));
		reply(connection, OK);
		assertThat(next.get().status()).isEqualTo(200);
	}

	private CompletableFuture<HttpAnswer> sendToInstance(String instance, String path, Duration timeout) {
		InstanceCheck check = new InstanceCheck(instance, () -> new HttpCall("GET", "/check", Map.of(), new byte[0]),
				(answer) -> Optional.of(new String(answer.body(), StandardCharsets.UTF_8)));
		return this.client.sendToInstance(address(), check, new HttpCall("GET", path, Map.of(), new byte[0]), timeout);
	}

	private static String instance(String name) {
		return "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" + name;
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setSoTimeout(5_000);
				this.accepted.add(socket);
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	private CompletableFuture<HttpAnswer> send(String path, Duration timeout) {
		return this.client.send(address(), new HttpCall("GET", path, Map.of(), new byte[0]), timeout);
	}

	private static void fillBacklog(InetSocketAddress address, List<Socket> opened) throws IOException {
		while (true) {
			Socket socket = new Socket();
			opened.add(socket);
			try {
				socket.connect(address, 300);
			}
			catch (SocketTimeoutException ex) {
				return;
			}
		}
	}

	private static String reply(Socket socket, String answer) throws IOException {
		StringBuilder call = new StringBuilder();
		while (call.indexOf("\r\n\r\n") < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				throw new IOException("the client closed the connection");
			}
			call.append((char) next);
		}
		socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
		return call.toString();
	}

	private static HttpFailure failure(CompletableFuture<HttpAnswer> answer) {
		ExecutionException failed = catchThrowableOfType(ExecutionException.class,
				() -> answer.get(10, TimeUnit.SECONDS));
		return (HttpFailure) failed.getCause();
	}

}
