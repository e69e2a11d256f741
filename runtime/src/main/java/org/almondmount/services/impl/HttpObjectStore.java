package org.almondmount.services.impl;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpClient;
import org.almondmount.http.HttpFailure;
import org.almondmount.services.ObjectStore;

/**
 * Client of the platform's object store over HTTP. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final int NOT_FOUND = 404;

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final HttpClient client;

	private final InetSocketAddress store;

	public HttpObjectStore(HttpClient client, InetSocketAddress store) {
		this.client = client;
		this.store = store;
	}

	@Override
	public CompletableFuture<Boolean> exists(String name) {
		return this.client
			.send(this.store, Json.call("GET", "/v1/objects/" + Json.urlEncode(name) + "?head=true"), TIMEOUT)
			.thenApply((answer) -> {
				if (answer.status() == NOT_FOUND) {
					return false;
				}
				requireSuccess(answer);
				return true;
			});
	}

	@Override
	public CompletableFuture<Void> delete(String name) {
		return this.client.send(this.store, Json.call("DELETE", "/v1/objects/" + Json.urlEncode(name)), TIMEOUT)
			.thenAccept((answer) -> {
				if (answer.status() != NOT_FOUND) {
					requireSuccess(answer);
				}
			});
	}

	private void requireSuccess(HttpAnswer answer) {
		if (answer.status() >= 300) {
			throw new HttpFailure(this.store.toString(), "the object store answered " + answer.status(), true);
		}
	}

}
