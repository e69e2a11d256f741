package org.almondmount.daemon.cli;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.almondmount.telemetry.EventLog;

/**
 * The life of a daemon's process: it runs until SIGTERM or SIGINT, drains and ends. It
 * ends with 0 when nothing had to be cut, else with 1.
 */
final class Lifetime {

	private static final EventLog LOG = EventLog.of(Lifetime.class);

	private Lifetime() {
	}

	/**
	 * Runs until the process is told to end; never returns.
	 * @param drain begins the graceful shutdown; true when nothing had to be cut
	 * @param deadline time for it
	 */
	static void untilTold(Supplier<CompletableFuture<Boolean>> drain, Duration deadline) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			boolean clean = drained(drain, deadline);
			System.err.flush();
			// Left to itself the JVM would end with the signal's number, which looks like
			// a kill to whoever restarts VMs.
			Runtime.getRuntime().halt((clean ? ExitStatus.DONE : ExitStatus.FAILED).code());
		}, "shutdown"));
		try {
			Thread.currentThread().join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean drained(Supplier<CompletableFuture<Boolean>> drain, Duration deadline) {
		LOG.info("draining", "deadline", deadline);
		try {
			boolean clean = drain.get().get(deadline.toMillis(), TimeUnit.MILLISECONDS);
			LOG.info("drained", "clean", clean);
			return clean;
		}
		catch (TimeoutException ex) {
			LOG.warn("drain-deadline", "deadline", deadline);
		}
		catch (ExecutionException ex) {
			LOG.fault("drain-fault", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return false;
	}

}
