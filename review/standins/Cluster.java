import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's programs as separate processes, started with the
 * run lines of the deploy file, and the stand-ins of the platform's store and of the minions.
 */
final class Cluster implements AutoCloseable {

	private static final List<String> ZONES = List.of("half-way-tree", "spanish-town", "port-royal");

	private static final int MINIONS_PER_RACK = 3;

	private static final int METRICS_PORT = 9464;

	private static final int STORE_PORT = 8524;

	private static final int CALLER_PORT = 8521;

	private static final int CONTROL_PORT = 8526;

	private static final int MINION_PORT = 8529;

	private static final String BOUNDS = String.join("\n", "bounds.seed_propagation_s=3", "bounds.address_reuse_s=2",
			"bounds.contact_timeout_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4",
			"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
			"bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.strict_revocation=false",
			"bounds.revoke_ms=5000", "bounds.cold_overage=1.5", "bounds.cold_slack=5", "bounds.evacuation_ms=5000",
			"bounds.recovery_s=12", "bounds.max_hold_ms=10000", "bounds.stop_timeout_ms=900",
			"bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
			"bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=3", "bounds.checkpoint_interval_s=0.5",
			"bounds.restore_ms=600", "bounds.notice_ms=4500", "bounds.migration_s=1.5", "bounds.maintenance_s=2",
			"bounds.require_fencing=false", "bounds.lease_duration_ms=3000", "bounds.thaw_slack_ms=300",
			"bounds.pace_ms=100", "bounds.harm_ms=4000", "bounds.reclaim_ms=3400");

	final Record record;

	final Store store;

	final List<String> entries = new ArrayList<>();

	final Map<String, Minion> minions = new LinkedHashMap<>();

	final Gangs gangs = new Gangs();

	private final ExecutorService executor = Executors.newCachedThreadPool((work) -> {
		Thread thread = new Thread(work, "stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private final Path repository;

	private final Path folder;

	private final String network;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, Path> logs = new LinkedHashMap<>();

	Cluster(Path repository, Record record) throws IOException {
		this.repository = repository;
		this.record = record;
		this.folder = Files.createTempDirectory("almondmount-review");
		this.network = freeNetwork();
		this.store = new Store(address(this.network + ".0.7", STORE_PORT), this.executor);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	ExecutorService executor() {
		return this.executor;
	}

	/** Starts an entry in the zone of that number. */
	void startEntry(int number) throws IOException {
		String name = "frontend-" + ZONES.get(number) + "-1";
		String ip = this.network + "." + (number + 1) + ".19";
		String extra = "role=entry\nmachine_class=frontend\nserves=frontend\nlisten_addresses.frontend=" + ip + ":"
				+ CALLER_PORT + "\nlisten_addresses.ready=" + ip + ":8523\nlimits.cpu_share=0.75\nlimits.memory_mb=430\n"
				+ "limits.file_descriptors=4100\n";
		if (!this.entries.contains(ip + ":" + CALLER_PORT)) {
			this.entries.add(ip + ":" + CALLER_PORT);
		}
		startProcess(name, "entry", settings(name, ZONES.get(number), ip, extra));
	}

	/** Starts a minion and the target beside it, in the zone and rack of that number, three a rack. */
	void startTarget(int number, String kind, ToLongFunction<String> workMillis) throws IOException {
		String name = "side-" + ZONES.get(number % ZONES.size()) + "-" + (1 + number / ZONES.size());
		String ip = this.network + "." + (number + 1) + ".20";
		Minion minion = new Minion("i-" + String.format("%010x", 0x7f3a91c200L + number),
				ZONES.get(number % ZONES.size()), kind, "r1-" + (1 + number / MINIONS_PER_RACK),
				address(ip, MINION_PORT), ip + ":" + CONTROL_PORT, this.executor, this.record, this.gangs, workMillis);
		this.minions.put(name, minion);
		minion.start();
		String extra = "role=target\nmachine_class=side\nserves=side\nlisten_addresses.control_plane=" + ip + ":"
				+ CONTROL_PORT + "\napp=" + ip + ":" + MINION_PORT + "\nservice=render\nlimits.cpu_share=0.45\n"
				+ "limits.memory_mb=298\nlimits.file_descriptors=4096\n";
		startProcess(name, "target", settings(name, ZONES.get(number % ZONES.size()), ip, extra));
	}

	/** Kills a process with SIGKILL. */
	void kill(String name) throws InterruptedException {
		this.record.line("SIGKILL " + name);
		Process process = this.processes.get(name);
		process.destroyForcibly();
		process.waitFor();
	}

	/** Starts a process again, with the settings that it had, as the platform does after an end. */
	void restart(String name) throws IOException {
		this.record.line("the platform starts " + name + " again");
		startProcess(name, name.startsWith("frontend") ? "entry" : "target", this.folder.resolve(name + ".conf"));
	}

	/** Returns the entry that holds the term by its own log, so that it can be killed first. */
	String holder() throws IOException {
		String holder = "";
		long highest = 0;
		Pattern began = Pattern.compile("event=term-began epoch=(\\d+)");
		for (Map.Entry<String, Path> log : this.logs.entrySet()) {
			Matcher matcher = began.matcher(Files.readString(log.getValue()));
			while (matcher.find()) {
				long epoch = Long.parseLong(matcher.group(1));
				if (epoch > highest) {
					highest = epoch;
					holder = log.getKey();
				}
			}
		}
		return holder;
	}

	/** Writes a desired state as the operator. */
	void configure(long version, List<ObjectNode> routes) {
		ObjectNode config = Json.object().put("version", version);
		ArrayNode list = config.putArray("routes");
		routes.forEach(list::add);
		config.putArray("services")
			.addObject()
			.put("name", "render")
			.put("health_path", "/health")
			.put("max_connections", 64)
			.put("protocol", "h1")
			.put("admission_check", false);
		config.putObject("limits").put("max_header_bytes", 16_384).put("max_body_bytes", 262_144);
		ObjectNode tenant = config.putArray("tenants").addObject().put("name", "kaje80");
		tenant.putArray("api_keys").add(Client.KEY);
		tenant.putObject("guaranteed").put("gpu", 8);
		this.store.put("op", "config", config);
		this.record.line("the operator's version " + version + " is confirmed, routes "
				+ routes.stream().map((route) -> route.path("name").asText()).toList());
	}

	static ObjectNode route(String name, String prefix, int priority, int maxAttempts) {
		return Json.object()
			.put("name", name)
			.put("host", Client.HOST)
			.put("path_prefix", prefix)
			.put("kind", "non_idempotent")
			.put("timeout_ms", 3_000)
			.put("target_latency_ms", 3_000)
			.put("priority", priority)
			.put("service", "render")
			.put("max_attempts", maxAttempts)
			.put("stretch", 3.0)
			.put("allow_anonymous", false);
	}

	@Override
	public void close() {
		for (Process process : this.processes.values()) {
			process.destroyForcibly();
		}
		for (Process process : this.processes.values()) {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		if (System.getenv("KEEP_LOGS") == null) {
			deleteFolder();
		}
	}

	private void deleteFolder() {
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.deleteIfExists(file);
			}
			Files.deleteIfExists(this.folder);
		}
		catch (IOException ex) {
			// The folder is temporary, and a file may be gone already.
		}
	}

	private Path settings(String name, String zone, String ip, String extra) throws IOException {
		String text = "node_name=" + name + "\n" + extra + "ip_address=" + ip + "\nzone=" + zone
				+ "\nregion=kingston\ninternal_port_range=7000,7015\nseed_nodes=\nbootstrap=true\n"
				+ "limits.cpu_cores=1\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=local\n"
				+ "entry_point=virtual_ip\nheartbeat_interval_ms=1500\n"
				+ "contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing\n" + BOUNDS
				+ "\norders=call\nplatform.address=" + this.network + ".0.7:" + STORE_PORT
				+ "\nplatform.form=table\nplatform.writes_per_s=800\nplatform.reads_per_s=2000\n"
				+ "platform.transaction_ms=5.0\nplatform.part_writes_per_s=200\nplatform.row_bytes=65536\n"
				+ "platform.across=false\nplatform.history_s=20\n";
		Path file = this.folder.resolve(name + ".conf");
		Files.writeString(file, text);
		return file;
	}

	private void startProcess(String name, String role, Path settings) throws IOException {
		Path log = this.folder.resolve(name + "-" + System.nanoTime() + ".log");
		ProcessBuilder builder = new ProcessBuilder(runLine(role)).directory(this.repository.toFile())
			.redirectErrorStream(true)
			.redirectOutput(log.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("ALMONDMOUNT_SETTINGS", settings.toString());
		this.processes.put(name, builder.start());
		this.logs.put(name, log);
		this.record.line("started " + name);
	}

	private List<String> runLine(String role) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(this.repository.resolve("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				inRole = line.equals("[roles." + role + "]");
			}
			else if (inRole && line.startsWith("run = ")) {
				return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("the deploy file has no role " + role);
	}

	private static String freeNetwork() throws IOException {
		Random random = new Random();
		for (int attempt = 0; attempt < 20; attempt++) {
			String network = "127." + (20 + random.nextInt(200));
			try (ServerSocket store = new ServerSocket(); ServerSocket metrics = new ServerSocket()) {
				store.bind(address(network + ".0.7", STORE_PORT));
				metrics.bind(address(network + ".1.19", METRICS_PORT));
				return network;
			}
			catch (IOException ex) {
				// Another program listens there.
			}
		}
		throw new IOException("no free loopback network");
	}

	private static InetSocketAddress address(String ip, int port) {
		return new InetSocketAddress(ip, port);
	}

}
