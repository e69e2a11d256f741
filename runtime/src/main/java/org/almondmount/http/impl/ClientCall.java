package org.almondmount.http.impl;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpFailure;

/**
 * A call of the client. Confined to the client's event-loop thread.
 */
final class ClientCall {

	private final String server;

	private final FullHttpRequest request;

	private final CompletableFuture<HttpAnswer> answer;

	private ScheduledFuture<?> timer;

	private Channel channel;

	ClientCall(String server, FullHttpRequest request, CompletableFuture<HttpAnswer> answer) {
		this.server = server;
		this.request = request;
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
	 * Marks the call as sent and returns the request. From now on the server may have
	 * received the call.
	 * @param carrier the connection on which the call is sent
	 * @return the request
	 */
	FullHttpRequest markSent(Channel carrier) {
		this.channel = carrier;
		return this.request;
	}

	void succeed(HttpAnswer given) {
		this.answer.complete(given);
	}

	void fail(String reason) {
		this.answer.completeExceptionally(new HttpFailure(this.server, reason, this.channel != null));
	}

	void failRefused(String reason) {
		this.answer.completeExceptionally(HttpFailure.ofRefusedConnection(this.server, reason));
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
