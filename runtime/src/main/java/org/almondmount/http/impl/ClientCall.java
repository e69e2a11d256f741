package org.almondmount.http.impl;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpFailure;

/**
 * One call of the client. Belongs to the client's thread.
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
	 * Marks it as sent and hands out the request; from now on the server may have seen
	 * it.
	 * @param carrier the connection that carries it
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

	/**
	 * Gives it up. Its connection may still bring the late answer, so it is closed and
	 * never used again.
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
