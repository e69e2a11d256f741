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
	 * Makes the threads; each starts with its first connection.
	 * @param name the threads' name, followed by a number
	 * @param threads how many; one carries some thousand light connections
	 */
	public IoThreads(String name, int threads) {
		this.group = new MultiThreadIoEventLoopGroup(threads, new DefaultThreadFactory(name, true),
				NioIoHandler.newFactory());
	}

	/**
	 * The group, for bootstraps.
	 * @return the group
	 */
	public EventLoopGroup group() {
		return this.group;
	}

	/**
	 * One thread of the group, for state that has a single owner.
	 * @return the next thread in turn
	 */
	public EventLoop next() {
		return this.group.next();
	}

	/**
	 * Ends the threads once what they are doing is done. Returns at once.
	 */
	@Override
	public void close() {
		this.group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

}
