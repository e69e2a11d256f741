package org.almondmount.fleet.rehearsal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.almondmount.fleet.DeclarationReader;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.SingleThreadEventLoop;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.entry.FleetEntry;
import org.almondmount.fleet.target.FleetTarget;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.impl.NettyWireEndpoint;
import org.almondmount.workflow.Checkpointing;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;

/**
 * Two entries and a target that run three jobs over the loopback interface, with an
 * in-memory store and worker. Confined to one thread.
 * <p>
 * A target that restarts has to be ready before the lease of its worker expires. Without
 * connections, commands and commits in the build, some 700 of the classes that the target
 * uses are loaded from jar files and not from the class archive, which on half a core
 * takes as long as the rest of the startup.
 */
public final class FleetRehearsal implements AutoCloseable {

	private static final String TABLE = "declared";

	private static final ResourceAmount CAPACITY = new ResourceAmount(8_000, 8_000, 8);

	private static final ResourceAmount DEMAND = new ResourceAmount(1_000, 1_000, 1);

	private static final Duration LEASE = Duration.ofSeconds(6);

	private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("worker", 1);

	private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000;

	private final IoThreads io = new IoThreads("rehearsal-io", 1);

	private final Telemetry telemetry = new Telemetry();

	private final MemoryStore store = new MemoryStore();

	private final FleetEntry first;

	private final FleetEntry second;

	private final FleetTarget target;

	private final EventLoop targetLoop = new SingleThreadEventLoop();

	private final AtomicLong announcements = new AtomicLong();

	/**
	 * Creates an installation that does nothing before {@link #start()}.
	 * @throws IOException if no port of the loopback interface is free
	 */
	public FleetRehearsal() throws IOException {
		this.store.put(TABLE, "configuration", "1");
		this.first = entry("entry-1");
		this.second = entry("entry-2");
		this.target = new FleetTarget(settings("target"), new MemoryWorker(INCARNATION), this.store,
				new NettyWireEndpoint(this.io, this.telemetry), this.targetLoop, new Telemetry());
	}

	private void announce() {
		this.target.onWorkerDescribed(
				new WorkerDescription(INCARNATION, "pool", "zone", Set.of("r1-1"), CAPACITY, false, 0),
				this.announcements.incrementAndGet());
	}

	/**
	 * Starts the installation and submits three jobs: one runs, one is cancelled, the
	 * last is a gang.
	 * @return the outcome of the last submission
	 */
	public CompletableFuture<Submission> start() {
		return this.first.start().thenCompose((started) -> this.second.start()).thenCompose((started) -> {
			this.target.start();
			announce();
			this.targetLoop.scheduleRepeatedly(ANNOUNCE_INTERVAL_MILLIS, this::announce);
			return this.first.awaitConfigured(OptionalLong.empty());
		}).thenCompose((configured) -> {
			this.first.submit(job("a", false), OptionalLong.empty());
			this.second.submit(job("cancelled", false), OptionalLong.empty())
				.thenCompose((outcome) -> this.second.cancel("cancelled", LEASE.toMillis()));
			return this.second.submit(job("gang", true), OptionalLong.empty());
		});
	}

	/**
	 * Queries the phase of the gang's job.
	 * @return the answer
	 */
	public CompletableFuture<JobAnswer> gangJobPhase() {
		return this.second.phase("gang", LEASE.toMillis());
	}

	@Override
	public void close() {
		this.target.close();
		this.first.close();
		this.second.close();
		this.io.close();
	}

	private FleetEntry entry(String name) throws IOException {
		return new FleetEntry(settings(name), this.store, new FixedDeclarations(),
				new NettyWireEndpoint(this.io, this.telemetry), new SingleThreadEventLoop(), new Telemetry());
	}

	private static FleetSettings settings(String name) throws IOException {
		return new FleetSettings(name, "zone", new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort()),
				"a key for the rehearsal alone", LEASE, Duration.ofSeconds(2), Duration.ofSeconds(1),
				Duration.ofMillis(200), Duration.ofMinutes(2), Checkpointing.DEFAULT, SchedulerFeature.DEFAULTS);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private static Workflow job(String id, boolean gang) {
		Step step = new Step(2, DEMAND, 1_000, List.of(), true, gang, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
		return new Workflow(id, "queue", "customer", "program", List.of(step), Workflow.Schedule.ONCE,
				System.currentTimeMillis());
	}

	/**
	 * Returns one queue and one customer, whatever the rows declare.
	 */
	private static final class FixedDeclarations implements DeclarationReader {

		@Override
		public String table() {
			return TABLE;
		}

		@Override
		public Optional<FleetConfiguration> configuration(Map<String, String> rows) {
			JobQueue queue = new JobQueue("queue", "host", "/queue/", "pool", 0, 2, 3, 1_000, false, false);
			FleetCustomer customer = new FleetCustomer("customer", Set.of("key"), 8);
			return Optional.of(new FleetConfiguration(1, List.of(queue), List.of("pool"), List.of(customer)));
		}

		@Override
		public Set<String> zonesOut(Map<String, String> rows) {
			return Set.of();
		}

	}

}
