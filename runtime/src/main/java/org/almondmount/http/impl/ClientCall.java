package org.almondmount.http.impl;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpFailure;
import org.almondmount.http.OtherInstanceFailure;

/**
 * A call of the client. Confined to the client's event-loop thread.
 */
final class ClientCall {

	private final String server;

	private final FullHttpRequest request;

	private final Optional<PendingCheck> check;

	private final CompletableFuture<HttpAnswer> answer;

	private ScheduledFuture<?> timer;

	private Channel channel;

	private boolean sent;

	ClientCall(String server, FullHttpRequest request, Optional<PendingCheck> check,
			CompletableFuture<HttpAnswer> answer) {
		this.server = server;
		this.request = request;
		this.check = check;
		this.answer = answer;
	}

	void timer(ScheduledFuture<?> timeoutTimer) {
		this.timer = timeoutTimer;
		this.answer.whenComplete((given, failure) -> timeoutTimer.cancel(false));
	}

	boolean isDone() {
		return this.answer.isDone();
	}

	CompletableFuture<HttpAnswer> answer() {
		return this.answer;
	}

	/**
	 * Returns the check of the connection that carries the call.
	 * @return the check, or empty if any connection will do
	 */
	Optional<PendingCheck> check() {
		return this.check;
	}

	/**
	 * Assigns the call to a connection, which it occupies from now on.
	 * @param carrier the connection
	 */
	void assignTo(Channel carrier) {
		this.channel = carrier;
	}

	/**
	 * Marks the call as sent and returns the request. From now on the server may have
	 * received the call.
	 * @return the request
	 */
	FullHttpRequest markSent() {
		this.sent = true;
		return this.request;
	}

	void succeed(HttpAnswer given) {
		this.answer.complete(given);
	}

	void fail(String reason) {
		this.answer.completeExceptionally(new HttpFailure(this.server, reason, this.sent));
	}

	void failRefused(String reason) {
		this.answer.completeExceptionally(HttpFailure.ofRefusedConnection(this.server, reason));
	}

	void failOtherInstance(HttpAnswer given) {
		this.answer.completeExceptionally(new OtherInstanceFailure(this.server, given));
	}

	/**
	 * Abandons the call. Its late answer may still arrive on the connection, so the
	 * connection is closed and never reused.
	 */
	void abandon() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
