package org.almondmount.http.impl;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpLimits;
import org.almondmount.http.HttpServer;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

class HttpFuzzTests {

	private static final String CALL = "POST /v1/jobs?x=1 HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
			+ "transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";

	// The other caller's connection is idle while the bytes are sent. With an idle
	// timeout of some milliseconds the server could close it just as the next call is
	// sent, and the test would fail because of connection reuse and not because of the
	// bytes.
	private static final HttpLimits LIMITS = new HttpLimits(1_024, 2_048, 100, Duration.ofSeconds(2));

	private static IoThreads io;

	private static HttpServer server;

	private static NettyHttpClient client;

	@BeforeContainer
	static void start() {
		io = new IoThreads("fuzz-io", 1);
		server = NettyHttpServer.start(io, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), LIMITS,
				(exchange) -> exchange.answer(new HttpAnswer(200, Map.of(), exchange.call().body())), new Telemetry())
			.join();
		client = new NettyHttpClient(io, 1, 4_096);
	}

	@AfterContainer
	static void stop() {
		client.close();
		server.close();
		io.close();
	}

	@Property(seed = "20261202", tries = 300)
	void randomBytesDoNotAffectOtherCallers(@ForAll @Size(max = 300) byte[] bytes) throws IOException {
		sendAndReadAll(bytes);
		assertOtherCallersAreServed();
	}

	@Property(seed = "20261202", tries = 300)
	void corruptedCallsDoNotAffectOtherCallers(@ForAll @IntRange(max = 1_000) int position, @ForAll byte value)
			throws IOException {
		byte[] bytes = CALL.getBytes(StandardCharsets.ISO_8859_1);
		bytes[position % bytes.length] = value;
		sendAndReadAll(bytes);
		assertOtherCallersAreServed();
	}

	private static void sendAndReadAll(byte[] bytes) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(5_000);
			socket.connect(server.address());
			socket.getOutputStream().write(bytes);
			socket.shutdownOutput();
			socket.getInputStream().readAllBytes();
		}
		catch (SocketException ex) {
			assertThat(server.address()).isNotNull();
		}
	}

	private static void assertOtherCallersAreServed() {
		HttpCall call = new HttpCall("POST", "/", Map.of(), new byte[] { 65 });
		HttpAnswer answer = client.send(server.address(), call, Duration.ofSeconds(5)).join();
		assertThat(answer.body()).asString().isEqualTo("A");
	}

}
