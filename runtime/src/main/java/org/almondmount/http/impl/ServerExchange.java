package org.almondmount.http.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpExchange;

/**
 * A call on a connection of the server. Mutable fields are confined to the connection's
 * event-loop thread, except {@code answered}, which is atomic.
 */
final class ServerExchange implements HttpExchange {

	private final HttpServerConnection connection;

	private final HttpCall call;

	private final boolean keepAlive;

	private final long reservedBytes;

	private final AtomicBoolean answered = new AtomicBoolean();

	private final List<Runnable> disconnectActions = new ArrayList<>(1);

	private boolean disconnected;

	private HttpAnswer answer;

	ServerExchange(HttpServerConnection connection, HttpCall call, boolean keepAlive, long reservedBytes) {
		this.connection = connection;
		this.call = call;
		this.keepAlive = keepAlive;
		this.reservedBytes = reservedBytes;
	}

	/**
	 * Creates an exchange that the server itself has answered.
	 * @param connection the connection
	 * @param answer the answer
	 * @param keepAlive whether the connection stays open after the answer
	 * @return the exchange, which is not passed to the handler
	 */
	static ServerExchange answered(HttpServerConnection connection, HttpAnswer answer, boolean keepAlive) {
		ServerExchange exchange = new ServerExchange(connection, null, keepAlive, 0);
		exchange.answered.set(true);
		exchange.answer = answer;
		return exchange;
	}

	@Override
	public HttpCall call() {
		return this.call;
	}

	@Override
	public void answer(HttpAnswer given) {
		if (this.answered.compareAndSet(false, true)) {
			this.connection.execute(() -> {
				this.answer = given;
				this.connection.writeReadyAnswers();
			});
		}
	}

	@Override
	public void onCallerDisconnected(Runnable action) {
		this.connection.execute(() -> {
			if (this.disconnected) {
				action.run();
			}
			else {
				this.disconnectActions.add(action);
			}
		});
	}

	boolean keepAlive() {
		return this.keepAlive;
	}

	/**
	 * Returns the memory reserved for the call.
	 * @return the number of bytes
	 */
	long reservedBytes() {
		return this.reservedBytes;
	}

	HttpAnswer readyAnswer() {
		return this.answer;
	}

	void onDisconnected() {
		this.disconnected = true;
		if (!this.answered.get()) {
			this.disconnectActions.forEach(Runnable::run);
		}
		this.disconnectActions.clear();
	}

}
