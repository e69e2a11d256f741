package org.almondmount.http.impl;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.almondmount.http.CallMemory;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpExchange;
import org.almondmount.http.HttpHandler;
import org.almondmount.http.HttpLimits;
import org.almondmount.http.HttpServer;
import org.almondmount.http.ProbeHandler;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NettyHttpServerTests {

	private static final HttpLimits LIMITS = new HttpLimits(1_024, 2_048, 2, Duration.ofMillis(400));

	private final IoThreads io = new IoThreads("test-io", 1);

	private final Telemetry telemetry = new Telemetry();

	private final List<HttpExchange> exchanges = new CopyOnWriteArrayList<>();

	private CallMemory memory = CallMemory.ofHeap();

	private HttpLimits limits = LIMITS;

	private HttpServer server;

	@AfterEach
	void stop() {
		this.server.close();
		this.io.close();
	}

	@Test
	void pipelinedCallsAreAnsweredInTheirOrder() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "GET /one HTTP/1.1\r\nhost: a\r\n\r\nGET /two HTTP/1.1\r\nhost: a\r\n\r\n");
			Awaitility.await().until(() -> this.exchanges.size() == 2);
			this.exchanges.get(1).answer(text("second"));
			this.exchanges.get(0).answer(text("first"));
			String all = readUntil(caller, "second");
			assertThat(all.indexOf("first")).isPositive().isLessThan(all.indexOf("second"));
		}
	}

	// Guards against refused connections while a process restarts: a caller that connects
	// and sends its call before the server is created has to be answered.
	@Test
	void aCallerThatConnectsBeforeTheServerStartsIsAnswered() throws Exception {
		ServerSocketChannel early = NettyHttpServer.openListeningSocket(new InetSocketAddress("127.0.0.1", 0));
		InetSocketAddress address = (InetSocketAddress) early.getLocalAddress();
		try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
			caller.setSoTimeout(5_000);
			send(caller, "GET /one HTTP/1.1\r\nhost: a\r\n\r\n");
			this.server = NettyHttpServer
				.start(this.io, early, () -> LIMITS, CallMemory.ofHeap(), this.exchanges::add, this.telemetry)
				.get();
			Awaitility.await().until(() -> this.exchanges.size() == 1);
			this.exchanges.get(0).answer(text("first"));
			assertThat(readUntil(caller, "first")).startsWith("HTTP/1.1 200");
			assertThat(this.server.address()).isEqualTo(address);
		}
	}

	@Test
	void nonHttpBytesAreRefusedAndTheConnectionIsClosed() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "\u0001\u0002 junk that is no HTTP\r\n\r\n");
			assertThat(readAll(caller)).startsWith("HTTP/1.1 400").contains("\"kind\":\"invalid\"").contains("not-run");
			assertThat(count("http.cut.junk")).isEqualTo(1);
		}
	}

	@Test
	void aBodyOverTheLimitIsRefusedWhileTheCallerStillSends() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n" + "x".repeat(50_000));
			assertThat(readAll(caller)).startsWith("HTTP/1.1 413").contains("too-large");
			assertThat(this.exchanges).isEmpty();
		}
	}

	@Test
	void aRefusalByExpectationDoesNotOvertakeAnEarlierAnswer() throws IOException {
		// Two calls are pipelined. The second has a body that is too large and expects
		// 100 Continue. If it were refused at once, its 413 would be mistaken for the
		// answer to the first call.
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "GET /one HTTP/1.1\r\nhost: a\r\n\r\n"
					+ "POST /two HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 100000\r\n\r\n");
			Awaitility.await().until(() -> count("http.cut.too-large") == 1);
			this.exchanges.get(0).answer(text("first"));
			String all = readAll(caller);
			assertThat(all).startsWith("HTTP/1.1 200");
			assertThat(all.indexOf("HTTP/1.1 413")).isGreaterThan(all.indexOf("first"));
		}
	}

	@Test
	void expect100ContinueIsAnsweredWithContinue() throws IOException {
		start((exchange) -> exchange.answer(text("got " + exchange.call().body().length)));
		try (Socket caller = connect()) {
			send(caller, "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n");
			readUntil(caller, "100 Continue\r\n\r\n");
			send(caller, "abc");
			assertThat(readUntil(caller, "got 3")).startsWith("HTTP/1.1 200");
		}
	}

	@Test
	void headersOverTheLimitAreRefused() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\nlong: " + "x".repeat(5_000) + "\r\n\r\n");
			assertThat(readAll(caller)).startsWith("HTTP/1.1 413");
		}
	}

	@Test
	void aCallerThatStallsDuringACallIsDisconnected() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc");
			assertThat(readAll(caller)).isEmpty();
			assertThat(count("http.cut.slow-caller")).isEqualTo(1);
		}
	}

	@Test
	void anIdleCallerIsDisconnected() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			assertThat(readAll(caller)).isEmpty();
			assertThat(count("http.cut.idle")).isEqualTo(1);
		}
	}

	@Test
	void aCallerThatDoesNotReadItsAnswerIsDisconnected() throws IOException {
		// The caller sends a call and does not read. The answer is larger than the socket
		// buffers, so without a timeout it would occupy server memory indefinitely.
		start((exchange) -> exchange.answer(new HttpAnswer(200, Map.of(), new byte[64 << 20])));
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
			Awaitility.await().until(() -> count("http.cut.slow-reader") == 1);
			Awaitility.await().until(() -> this.server.connectionCount() == 0);
		}
	}

	@Test
	void connectionsOverTheLimitAreClosed() throws IOException {
		start(this.exchanges::add);
		try (Socket one = connect(); Socket two = connect()) {
			send(one, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
			send(two, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
			Awaitility.await().until(() -> this.exchanges.size() == 2);
			try (Socket three = connect()) {
				assertThat(readAll(three)).isEmpty();
			}
			assertThat(count("http.cut.too-many-connections")).isEqualTo(1);
			this.exchanges.forEach((exchange) -> exchange.answer(text("ok")));
			assertThat(readUntil(one, "ok")).startsWith("HTTP/1.1 200");
			assertThat(readUntil(two, "ok")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against a crowd of silent connections that keeps callers out.
	@Test
	void aNewcomerTakesThePlaceOfAStalledConnection() throws IOException {
		start((exchange) -> exchange.answer(text("ok")));
		try (Socket one = connect(); Socket two = connect()) {
			send(one, "GET / HTTP/1.1\r\n");
			Awaitility.await().pollDelay(Duration.ofMillis(150)).until(() -> this.server.connectionCount() == 2);
			try (Socket three = connect()) {
				send(three, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
				assertThat(readUntil(three, "ok")).startsWith("HTTP/1.1 200");
			}
			assertThat(count("http.cut.evicted")).isPositive();
			assertThat(readAll(two)).isEmpty();
		}
	}

	@Test
	void theHandlerIsNotifiedWhenTheCallerDisconnectsBeforeItsAnswer() throws IOException {
		AtomicBoolean gone = new AtomicBoolean();
		start((exchange) -> {
			exchange.onCallerDisconnected(() -> gone.set(true));
			this.exchanges.add(exchange);
		});
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
			Awaitility.await().until(() -> !this.exchanges.isEmpty());
		}
		Awaitility.await().untilTrue(gone);
	}

	@Test
	void anAnswerHeaderCannotInjectASecondAnswer() throws IOException {
		start((exchange) -> exchange
			.answer(new HttpAnswer(200, Map.of("x", "a\r\n\r\nHTTP/1.1 200 OK\r\n\r\nforged"), new byte[0])));
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
			assertThat(readAll(caller)).startsWith("HTTP/1.1 502").doesNotContain("forged");
		}
	}

	@Test
	void aDrainAnswersReceivedCallsAndThenCloses() throws Exception {
		// A call is being processed when the drain starts. It has to receive its complete
		// answer with `connection: close`. Only then may the drain complete, without
		// closing a connection at the deadline.
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
			Awaitility.await().until(() -> !this.exchanges.isEmpty());
			CompletableFuture<Boolean> drained = this.server.drain(Duration.ofMillis(50), Duration.ofSeconds(20));
			Awaitility.await().until(this::refusesConnections);
			assertThat(drained).isNotDone();
			this.exchanges.get(0).answer(text("whole"));
			assertThat(readAll(caller)).contains("connection: close").endsWith("whole");
			assertThat(drained.get(5, TimeUnit.SECONDS)).isTrue();
		}
	}

	@Test
	void aDrainStillAcceptsCallsDuringItsLinger() throws Exception {
		// A call is in transit when the drain starts. It arrives on an open connection
		// and has to be answered with `connection: close`.
		start((exchange) -> exchange.answer(text("ok")));
		try (Socket caller = connect()) {
			Awaitility.await().until(() -> this.server.connectionCount() == 1);
			CompletableFuture<Boolean> drained = this.server.drain(Duration.ofMillis(300), Duration.ofSeconds(20));
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
			assertThat(readAll(caller)).contains("connection: close").endsWith("ok");
			assertThat(drained.get(5, TimeUnit.SECONDS)).isTrue();
		}
	}

	// Guards against calls sent ahead without reading, which pile up as answers.
	@Test
	void callsSentAheadWaitUntilTheAnswersAreRead() throws IOException {
		AtomicInteger handled = new AtomicInteger();
		start((exchange) -> {
			handled.incrementAndGet();
			exchange.answer(new HttpAnswer(200, Map.of(), new byte[1 << 20]));
		});
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(200));
			Awaitility.await().until(() -> count("http.cut.slow-reader") == 1);
			assertThat(handled.get()).isBetween(1, 100);
			assertThat(this.memory.usedBytes()).isLessThan(20 << 20);
		}
		Awaitility.await().until(() -> this.memory.usedBytes() == 0);
	}

	// Guards against a sum of bodies, each of legal size, that the process can't hold.
	@Test
	void bodiesThatTogetherExceedTheMemoryForCallsAreClosedTheLargestFirst() throws IOException {
		this.memory = new CallMemory(30_000);
		this.limits = LIMITS.withMaxConnections(100);
		start((exchange) -> exchange.answer(text("got " + exchange.call().body().length)));
		List<Socket> stalled = new ArrayList<>();
		try (Socket ordinary = connect()) {
			for (int i = 0; i < 20; i++) {
				stalled.add(connect());
				send(stalled.get(i), "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n" + "x".repeat(1_900));
			}
			Awaitility.await().until(() -> count("http.cut.evicted") + count("http.cut.overloaded") > 0);
			assertThat(this.memory.usedBytes()).isLessThanOrEqualTo(30_000);
			send(ordinary, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc");
			assertThat(readUntil(ordinary, "got 3")).startsWith("HTTP/1.1 200");
		}
		for (Socket each : stalled) {
			each.close();
		}
		Awaitility.await().until(() -> this.memory.usedBytes() == 0);
	}

	// Guards against very many short headers, which take up a hundred times their size.
	@Test
	void aCallThatFindsNoMemoryIsRefusedAsNotRun() throws IOException {
		this.memory = new CallMemory(20_000);
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			send(caller, "GET / HTTP/1.1\r\nhost: a\r\n" + "a:\r\n".repeat(200) + "\r\n");
			assertThat(readAll(caller)).startsWith("HTTP/1.1 503").contains("retry-after: 1").contains("not-run");
			assertThat(count("http.cut.overloaded")).isEqualTo(1);
			assertThat(this.exchanges).isEmpty();
		}
		Awaitility.await().until(() -> this.memory.usedBytes() == 0);
	}

	// Guards against memory for bodies of calls that are refused whatever they contain.
	@Test
	void aCallThatIsRefusedByItsHeadIsAnsweredBeforeItsBody() throws IOException {
		start(new ProbeHandler(() -> text("refused")));
		try (Socket caller = connect()) {
			send(caller, "POST /one HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab");
			assertThat(readUntil(caller, "refused")).startsWith("HTTP/1.1 200");
			send(caller, "cdeGET /two HTTP/1.1\r\nhost: a\r\n\r\n");
			assertThat(readUntil(caller, "refused")).startsWith("HTTP/1.1 200");
			send(caller, "POST /three HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1000\r\n"
					+ "x".repeat(4_096));
			assertThat(readAll(caller)).startsWith("HTTP/1.1 200");
			assertThat(count("http.cut.too-large")).isEqualTo(1);
		}
	}

	@Test
	void aBodyOfExactlyTheLimitIsServedInChunksOfOneByte() throws IOException {
		start((exchange) -> exchange.answer(text("got " + exchange.call().body().length)));
		try (Socket caller = connect()) {
			send(caller, "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(2_048)
					+ "0\r\n\r\n");
			assertThat(readUntil(caller, "got 2048")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against a byte now and then that keeps a connection for good.
	@Test
	void aCallerThatSendsAByteNowAndThenIsDisconnected() throws IOException {
		start(this.exchanges::add);
		try (Socket caller = connect()) {
			Awaitility.await().pollInterval(Duration.ofMillis(50)).until(() -> {
				if (count("http.cut.slow-caller") == 0) {
					send(caller, "x");
				}
				return count("http.cut.slow-caller") == 1;
			});
		}
	}

	private void start(HttpHandler handler) {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		this.server = NettyHttpServer.start(this.io, any, () -> this.limits, this.memory, handler, this.telemetry)
			.join();
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setSoTimeout(5_000);
		socket.connect(this.server.address());
		return socket;
	}

	private boolean refusesConnections() {
		try (Socket socket = connect()) {
			return !socket.isConnected();
		}
		catch (IOException ex) {
			return true;
		}
	}

	private long count(String counter) {
		return this.telemetry.registry().counter(counter).getCount();
	}

	private static HttpAnswer text(String text) {
		return new HttpAnswer(200, Map.of("content-type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	private static String readUntil(Socket socket, String end) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf(end) < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				break;
			}
			text.append((char) next);
		}
		return text.toString();
	}

}
