package org.almondmount.standins.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.http.impl.NettyHttpClient;
import org.almondmount.net.IoThreads;

/**
 * Asks each entry's {@code /readyz} again and again, as the platform's balancer does.
 * Thread-safe.
 */
final class ReadinessProbe {

	private static final long EVERY_MILLIS = 200;

	private static final Duration TIMEOUT = Duration.ofMillis(500);

	private static final HttpCall PROBE = new HttpCall("GET", "/readyz", Map.of(), new byte[0]);

	private static final int LARGEST_ANSWER = 64 << 10;

	private final HttpClient client;

	private final Set<InetSocketAddress> ready = ConcurrentHashMap.newKeySet();

	private ReadinessProbe(HttpClient client) {
		this.client = client;
	}

	/**
	 * Starts to probe.
	 * @param io the process's I/O threads
	 * @param addresses what is probed
	 * @return the probe
	 */
	static ReadinessProbe start(IoThreads io, List<InetSocketAddress> addresses) {
		ReadinessProbe probe = new ReadinessProbe(new NettyHttpClient(io, 1, LARGEST_ANSWER));
		io.next().scheduleAtFixedRate(() -> addresses.forEach(probe::ask), 0, EVERY_MILLIS, TimeUnit.MILLISECONDS);
		return probe;
	}

	/**
	 * Whether the address said that it is ready when it was asked last.
	 * @param address the address
	 * @return true if it did
	 */
	boolean isReady(InetSocketAddress address) {
		return this.ready.contains(address);
	}

	private void ask(InetSocketAddress address) {
		this.client.send(address, PROBE, TIMEOUT).whenComplete((answer, failure) -> {
			if (failure == null && answer.status() == 200) {
				this.ready.add(address);
			}
			else {
				this.ready.remove(address);
			}
		});
	}

}
