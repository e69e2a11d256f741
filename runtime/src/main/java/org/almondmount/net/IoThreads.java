package org.almondmount.net;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The event-loop threads of one process, on the NIO transport. Servers, clients and
 * connections between processes share them. Thread-safe.
 */
public final class IoThreads implements AutoCloseable {

	private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;

	private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

	private final EventLoopGroup group;

	/**
	 * Creates the group; each thread starts with its first connection.
	 * @param name the prefix of the thread names, followed by a number
	 * @param threads the number of threads; one thread serves some thousand connections
	 * with little traffic
	 */
	public IoThreads(String name, int threads) {
		this.group = new MultiThreadIoEventLoopGroup(threads, new DefaultThreadFactory(name, true),
				NioIoHandler.newFactory());
	}

	/**
	 * Returns the event-loop group for bootstraps.
	 * @return the group
	 */
	public EventLoopGroup group() {
		return this.group;
	}

	/**
	 * Returns one event loop of the group, for state that is confined to a single thread.
	 * @return the next event loop in round-robin order
	 */
	public EventLoop next() {
		return this.group.next();
	}

	/**
	 * Shuts the threads down after their current tasks. Returns immediately.
	 */
	@Override
	public void close() {
		this.group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

}
