package org.almondmount.standins;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.almondmount.http.HttpLimits;
import org.almondmount.http.impl.NettyHttpClient;
import org.almondmount.model.Resources;
import org.almondmount.net.IoThreads;
import org.almondmount.standins.net.Balancer;
import org.almondmount.standins.platform.EventRecord;
import org.almondmount.standins.platform.Faults;
import org.almondmount.standins.platform.FaultyServer;
import org.almondmount.standins.platform.InstanceRole;
import org.almondmount.standins.platform.ObjectsRole;
import org.almondmount.standins.platform.Role;
import org.almondmount.standins.platform.TableRole;
import org.almondmount.standins.platform.WorkerRole;
import org.kohsuke.args4j.Option;

/**
 * One subcommand: starts its stand-ins in this process.
 */
abstract class StandInCommand {

	private static final HttpLimits LIMITS = new HttpLimits(16 << 10, 16 << 20, 4_096, Duration.ofSeconds(60));

	private static final int STORE_CONNECTIONS = 8;

	private static final int LARGEST_OBJECT = 1 << 20;

	private final IoThreads io = new IoThreads("stand-in", 1);

	abstract void run();

	final void table(int port) {
		Faults faults = new Faults();
		EventRecord events = new EventRecord();
		serve("table", "table", port, LIMITS, new TableRole(faults, events), faults, events);
	}

	final void objects(int port) {
		EventRecord events = new EventRecord();
		serve("objects", "objects", port, LIMITS, new ObjectsRole(events), new Faults(), events);
	}

	final void worker(String name, int port, InetSocketAddress store, Resources capacity) {
		Faults faults = new Faults();
		EventRecord events = new EventRecord();
		NettyHttpClient client = new NettyHttpClient(this.io, STORE_CONNECTIONS, LARGEST_OBJECT);
		WorkerRole worker = new WorkerRole(name, capacity, client, store, faults, events);
		worker.start(this.io.next());
		serve("worker", name, port, LIMITS, worker, faults, events);
	}

	final void instance(String name, int port, int slots, int connections) {
		Faults faults = new Faults();
		EventRecord events = new EventRecord();
		HttpLimits limits = new HttpLimits(LIMITS.maxHeaderBytes(), LIMITS.maxBodyBytes(), connections,
				LIMITS.readTimeout());
		serve("instance", name, port, limits, new InstanceRole(name, slots, this.io.next(), faults, events), faults,
				events);
	}

	final void balancer(int port, List<InetSocketAddress> to) {
		Balancer balancer = Balancer.start(this.io, Places.loopback(port), to);
		ready("balancer", "balancer", balancer.address());
	}

	final void probingBalancer(int port, List<InetSocketAddress> to) {
		Balancer balancer = Balancer.startProbing(this.io, Places.loopback(port), to);
		ready("balancer", "probing", balancer.address());
	}

	private void serve(String kind, String name, int port, HttpLimits limits, Role role, Faults faults,
			EventRecord events) {
		FaultyServer server = FaultyServer.start(this.io, Places.loopback(port), limits, role, faults, events);
		ready(kind, name, server.address());
	}

	private static void ready(String kind, String name, InetSocketAddress address) {
		System.out.println("ready " + kind + " " + name + " " + address.getPort());
	}

	/**
	 * The options of a worker's size.
	 */
	abstract static class Sized extends StandInCommand {

		@Option(name = "--accelerators", metaVar = "N", usage = "accelerators of a worker")
		private int accelerators = 8;

		@Option(name = "--cores", metaVar = "N", usage = "cores of a worker")
		private int cores = 32;

		@Option(name = "--memory-mb", metaVar = "N", usage = "memory of a worker in MiB")
		private int memoryMb = 131_072;

		final Resources capacity() {
			return new Resources(this.accelerators, this.cores, this.memoryMb);
		}

	}

	/**
	 * The table service.
	 */
	public static final class Table extends StandInCommand {

		@Option(name = "--port", metaVar = "N", usage = "where to listen; 0 picks a port")
		private int port;

		@Override
		void run() {
			table(this.port);
		}

	}

	/**
	 * The object store.
	 */
	public static final class Objects extends StandInCommand {

		@Option(name = "--port", metaVar = "N", usage = "where to listen; 0 picks a port")
		private int port;

		@Override
		void run() {
			objects(this.port);
		}

	}

	/**
	 * A worker.
	 */
	public static final class Worker extends Sized {

		@Option(name = "--port", metaVar = "N", usage = "where to listen; 0 picks a port")
		private int port;

		@Option(name = "--name", metaVar = "NAME", usage = "the worker's name in events")
		private String name = "worker";

		@Option(name = "--objects", metaVar = "HOST:PORT", required = true, usage = "the object store")
		private String store;

		@Override
		void run() {
			worker(this.name, this.port, Places.parse(this.store), capacity());
		}

	}

	/**
	 * A service instance.
	 */
	public static final class Instance extends StandInCommand {

		@Option(name = "--port", metaVar = "N", usage = "where to listen; 0 picks a port")
		private int port;

		@Option(name = "--name", metaVar = "NAME", usage = "the instance's name in answers")
		private String name = "instance";

		@Option(name = "--slots", metaVar = "N", usage = "requests worked on at the same time")
		private int slots = 8;

		@Option(name = "--connections", metaVar = "N", usage = "connections accepted")
		private int connections = 64;

		@Override
		void run() {
			instance(this.name, this.port, this.slots, this.connections);
		}

	}

	/**
	 * The balancer.
	 */
	public static final class BalancerRole extends StandInCommand {

		@Option(name = "--port", metaVar = "N", usage = "where to listen; 0 picks a port")
		private int port;

		@Option(name = "--to", metaVar = "HOST:PORT,…", required = true, usage = "where connections go, in turn")
		private String to;

		@Override
		void run() {
			balancer(this.port, Places.parseAll(this.to));
		}

	}

	/**
	 * Table, object store, workers with an instance each, and balancers.
	 */
	public static final class All extends Sized {

		@Option(name = "--table-port", metaVar = "N", required = true, usage = "where the table listens")
		private int tablePort;

		@Option(name = "--objects-port", metaVar = "N", required = true, usage = "where the object store listens")
		private int objectsPort;

		@Option(name = "--workers", metaVar = "N", usage = "workers, each with an instance")
		private int workers;

		@Option(name = "--worker-port", metaVar = "N",
				usage = "the first worker's port; the others follow; 0 picks ports")
		private int workerPort;

		@Option(name = "--instance-port", metaVar = "N",
				usage = "the first instance's port; the others follow; 0 picks ports")
		private int instancePort;

		@Option(name = "--balance", metaVar = "PORT=HOST:PORT,…", usage = "a balancer; may be given again")
		private List<String> balancers = new ArrayList<>();

		@Option(name = "--balance-ready", metaVar = "PORT=HOST:PORT,…",
				usage = "a balancer that probes /readyz; may be given again")
		private List<String> probingBalancers = new ArrayList<>();

		@Override
		void run() {
			table(this.tablePort);
			objects(this.objectsPort);
			for (int i = 0; i < this.workers; i++) {
				String name = "worker-" + (i + 1);
				worker(name, port(this.workerPort, i), Places.loopback(this.objectsPort), capacity());
				instance(name, port(this.instancePort, i), 8, 64);
			}
			for (String each : this.balancers) {
				int equals = each.indexOf('=');
				balancer(Integer.parseInt(each.substring(0, equals)), Places.parseAll(each.substring(equals + 1)));
			}
			for (String each : this.probingBalancers) {
				int equals = each.indexOf('=');
				probingBalancer(Integer.parseInt(each.substring(0, equals)),
						Places.parseAll(each.substring(equals + 1)));
			}
		}

		private static int port(int first, int index) {
			return (first != 0) ? first + index : 0;
		}

	}

}
