package org.almondmount.standins.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpExchange;
import org.almondmount.http.HttpLimits;
import org.almondmount.http.HttpServer;
import org.almondmount.http.impl.NettyHttpServer;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;

/**
 * Serves one role over HTTP with faults that can be set, and tells checkers what it saw:
 * {@code POST /admin/faults}, {@code GET /admin/faults}, {@code GET /admin/log?from=N}.
 */
public final class FaultyServer implements AutoCloseable {

	private final IoThreads io;

	private final Role role;

	private final Faults faults;

	private final EventRecord events;

	private HttpServer server;

	private FaultyServer(IoThreads io, Role role, Faults faults, EventRecord events) {
		this.io = io;
		this.role = role;
		this.faults = faults;
		this.events = events;
	}

	/**
	 * Starts to serve a role and returns when it is bound.
	 * @param io the process's I/O thread
	 * @param address where to listen; port 0 picks one
	 * @param limits the server's bounds
	 * @param role what is done with calls
	 * @param faults the faults that can be set
	 * @param events what checkers can read
	 * @return the server
	 */
	public static FaultyServer start(IoThreads io, InetSocketAddress address, HttpLimits limits, Role role,
			Faults faults, EventRecord events) {
		FaultyServer faulty = new FaultyServer(io, role, faults, events);
		faulty.server = NettyHttpServer.start(io, address, limits, faulty::handle, new Telemetry()).join();
		return faulty;
	}

	/**
	 * Where it listens.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(HttpExchange exchange) {
		HttpCall call = exchange.call();
		if (call.path().startsWith("/admin/")) {
			admin(exchange);
			return;
		}
		boolean changes = !"GET".equals(call.method());
		if (this.faults.isOn(Fault.SILENT) || (changes && this.faults.takeOne(Fault.LOSE_CALLS))) {
			return;
		}
		if (this.faults.isOn(Fault.REFUSE)) {
			ObjectNode refusal = Documents.object().put("outcome", "not-committed").put("detail", "out of service");
			exchange.answer(Documents.answer(503, refusal));
			return;
		}
		boolean loseAnswer = changes && this.faults.takeOne(Fault.LOSE_ANSWERS);
		later(this.faults.value(Fault.DELAY_MILLIS),
				() -> this.role.take(call, (answer) -> give(exchange, answer, loseAnswer)));
	}

	private void give(HttpExchange exchange, HttpAnswer answer, boolean lose) {
		if (!lose) {
			later(this.faults.value(Fault.ANSWER_DELAY_MILLIS), () -> exchange.answer(answer));
		}
	}

	private void later(long millis, Runnable action) {
		if (millis == 0) {
			action.run();
		}
		else {
			this.io.next().schedule(action, millis, TimeUnit.MILLISECONDS);
		}
	}

	private void admin(HttpExchange exchange) {
		HttpCall call = exchange.call();
		String path = Documents.path(call);
		if (path.equals("/admin/faults")) {
			exchange.answer(setFaults(call));
		}
		else if (path.equals("/admin/log")) {
			String from = Documents.parameter(call, "from");
			exchange.answer(Documents.answer(200, this.events.document(from.isEmpty() ? 0 : Long.parseLong(from))));
		}
		else {
			Consumer<HttpAnswer> answer = exchange::answer;
			this.role.take(call, answer);
		}
	}

	private HttpAnswer setFaults(HttpCall call) {
		if ("POST".equals(call.method())) {
			String wrong = this.faults.set(Documents.body(call)).orElse("");
			if (!wrong.isEmpty()) {
				return Documents.problem(400, wrong);
			}
			this.events.add("faults").set("faults", this.faults.document());
		}
		return Documents.answer(200, this.faults.document());
	}

}
