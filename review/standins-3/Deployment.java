import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment: entries and targets as processes of their own, started with the
 * commands of the deploy file on loopback addresses, and stand-ins for the rest.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "jobs.example";

	static final String KEY = "key-of-a-tenant";

	static final String SERVICE = "desk";

	private static final String[] ZONES = { "half-way-tree", "spanish-town", "port-royal" };

	private static final long MAX_HOLD_MILLIS = 10_000;

	final Log log;

	final Store store;

	final List<String> entryIps = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	final Map<String, Process> processes = new ConcurrentSkipListMap<>();

	private final Path folder;

	private final String network;

	Deployment(Log log, int entries, int workerCount, ArrayNode routes) throws Exception {
		this.log = log;
		this.folder = Files.createTempDirectory("review-3-");
		this.network = freeNetwork();
		this.store = new Store(new InetSocketAddress(this.network + ".0.7", 8524));
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
		this.store.putAsOperator("config", configuration(5, routes));
		for (int number = 1; number <= entries; number++) {
			String ip = this.network + "." + number + ".19";
			this.entryIps.add(ip);
			start("entry", "entry-" + number, ip, ZONES[(number - 1) % ZONES.length], 430);
		}
		for (int number = 1; number <= workerCount; number++) {
			String ip = this.network + "." + number + ".20";
			String zone = ZONES[(number - 1) % ZONES.length];
			List<String> labels = List.of("a", "r1-" + (1 + (number - 1) / 3), "only-" + number);
			this.workers.add(new Worker(Integer.toString(number), ip, SERVICE, zone, labels, MAX_HOLD_MILLIS, log));
			start("target", "target-" + number, ip, zone, 298);
		}
	}

	static ObjectNode configuration(long version, ArrayNode routes) {
		ObjectNode configuration = Store.JSON.createObjectNode().put("version", version);
		configuration.set("routes", routes);
		configuration.putArray("services").addObject().put("name", SERVICE).put("admission_check", false);
		configuration.putObject("limits").put("max_header_bytes", 16_384).put("max_body_bytes", 262_144);
		ObjectNode tenant = configuration.putArray("tenants").addObject().put("name", "tenant");
		tenant.putArray("api_keys").add(KEY);
		tenant.putObject("guaranteed").put("gpu", 16);
		return configuration;
	}

	static ObjectNode route(String name, String prefix, int priority, int attempts, double stretch, int latency) {
		return Store.JSON.createObjectNode()
			.put("name", name)
			.put("host", HOST)
			.put("path_prefix", prefix)
			.put("kind", "non_idempotent")
			.put("timeout_ms", 3_000)
			.put("target_latency_ms", latency)
			.put("priority", priority)
			.put("service", SERVICE)
			.put("max_attempts", attempts)
			.put("stretch", stretch)
			.put("allow_anonymous", false);
	}

	void start(String role, String name, String ip, String zone, int memory) throws IOException {
		Path settings = this.folder.resolve(name + ".conf");
		Files.writeString(settings, String.join("\n", "node_name=" + name, "role=" + role,
				"machine_class=" + (role.equals("entry") ? "frontend" : "side"), "ip_address=" + ip, "zone=" + zone,
				"region=kingston", "listen_addresses.frontend=" + ip + ":8521", "listen_addresses.ready=" + ip + ":8523",
				"listen_addresses.control_plane=" + ip + ":8526", "internal_port_range=7000,7015",
				"seed_nodes=" + this.network + ".1.19:8526", "bootstrap=true", "limits.memory_mb=" + memory,
				"limits.file_descriptors=4100", "heartbeat_interval_ms=1500", "bounds.contact_timeout_ms=3000",
				"bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.max_hold_ms=" + MAX_HOLD_MILLIS,
				"bounds.stop_timeout_ms=900", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000",
				"bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120",
				"bounds.checkpoint_interval_s=0.5", "bounds.restore_ms=600", "orders=call", "service=" + SERVICE,
				"app=" + ip + ":8529", "platform.address=" + this.network + ".0.7:8524", "platform.form=table",
				"platform.row_bytes=65536", ""));
		ProcessBuilder builder = new ProcessBuilder(command(role)).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()));
		builder.environment().put("ALMONDMOUNT_SETTINGS", settings.toString());
		this.processes.put(name, builder.start());
		this.log.write(name + " started");
	}

	/** Waits until each entry is ready and each target has found the holder. */
	boolean awaitReady() throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
		while (System.nanoTime() < end) {
			boolean ready = true;
			for (String ip : this.entryIps) {
				ready &= Http.send("GET", "http://" + ip + ":8523/readiness", null, null, null, 500).status() == 200;
			}
			for (String name : this.processes.keySet()) {
				ready &= !name.startsWith("target") || Files.readString(this.folder.resolve(name + ".log")).contains("event=holder-found");
			}
			if (ready) {
				Thread.sleep(3_000);
				this.log.write("all are ready");
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	Http.Answer call(int entry, String method, String path, String body) {
		String url = "http://" + this.entryIps.get(entry % this.entryIps.size()) + ":8521" + path;
		Http.Answer answer = Http.send(method, url, HOST, KEY, body, 3_000);
		String shown = (body == null) ? "" : " " + body.substring(0, Math.min(160, body.length()));
		this.log.write("client " + method + " " + path + shown + " at entry-" + (entry % this.entryIps.size() + 1) + " -> "
				+ answer.status() + " " + answer.body());
		return answer;
	}

	private static List<String> command(String role) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
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
		for (int attempt = 0; attempt < 50; attempt++) {
			String network = "127." + (20 + random.nextInt(200));
			try (ServerSocket probe = new ServerSocket()) {
				probe.bind(new InetSocketAddress(network + ".0.7", 8524));
				return network;
			}
			catch (IOException ex) {
				// Another script uses this network.
			}
		}
		throw new IOException("no free loopback network");
	}

	private void killAll() {
		this.processes.values().forEach(Process::destroyForcibly);
	}

	@Override
	public void close() {
		killAll();
		for (Process process : this.processes.values()) {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		try (var files = Files.walk(this.folder)) {
			files.sorted((some, other) -> other.compareTo(some)).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			this.log.write("the temporary folder remains: " + ex.getMessage());
		}
	}

}
