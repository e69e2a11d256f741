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

	private final AtomicBoolean answered = new AtomicBoolean();

	private final List<Runnable> disconnectActions = new ArrayList<>(1);

	private boolean disconnected;

	private HttpAnswer answer;

	ServerExchange(HttpServerConnection connection, HttpCall call, boolean keepAlive) {
		this.connection = connection;
		this.call = call;
		this.keepAlive = keepAlive;
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
