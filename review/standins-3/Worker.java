import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/**
 * Stand-in for a minion. A task whose program holds "work=N" ends as done after N
 * milliseconds. Leases, fences, stops and the lists follow the protocol page.
 */
final class Worker {

	private static final long ANNOUNCE_MILLIS = 1_500;

	private static final long TICK_MILLIS = 20;

	private final String name;

	private final String ip;

	private final String service;

	private final String zone;

	private final List<String> labels;

	private final long maxHoldMillis;

	private final Log log;

	/** The starts that an unhealthy minion turns away with 503. */
	volatile Predicate<String> shed = (task) -> false;

	private HttpServer server;

	private ExecutorService threads;

	private String id;

	private int life;

	private boolean up;

	private long bornMillis;

	private long bornNanos;

	private long epoch;

	private long deadline;

	private long lastEnd;

	private long sequence;

	private final Map<String, RunState> running = new LinkedHashMap<>();

	private final Map<String, Integer> finished = new HashMap<>();

	private final List<ArrayNode> ended = new ArrayList<>();

	/** The jobs of which a task has begun here, in any life. */
	private final Set<String> begun = ConcurrentHashMap.newKeySet();

	private record RunState(int run, long workMillis, long startNanos) {
	}

	Worker(String name, String ip, String service, String zone, List<String> labels, long maxHoldMillis, Log log)
			throws IOException {
		this.name = name;
		this.ip = ip;
		this.service = service;
		this.zone = zone;
		this.labels = labels;
		this.maxHoldMillis = maxHoldMillis;
		this.log = log;
		begin();
		start("announce-" + name, this::announce, ANNOUNCE_MILLIS);
		start("tick-" + name, this::tick, TICK_MILLIS);
	}

	private static void start(String name, Runnable work, long pauseMillis) {
		Thread thread = new Thread(() -> {
			while (true) {
				work.run();
				try {
					Thread.sleep(pauseMillis);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
	}

	synchronized String id() {
		return this.id;
	}

	Set<String> begun() {
		return this.begun;
	}

	/** Whether a task of the job is at work here. */
	synchronized boolean runs(String job) {
		return this.running.keySet().stream().anyMatch((task) -> task.startsWith(job + "."));
	}

	/** Ends the minion without notice; what it runs ends with it. */
	void crash() {
		synchronized (this) {
			if (!this.up) {
				return;
			}
			this.log.write("minion " + this.id + " crashes under " + this.running.keySet());
			this.up = false;
			this.running.clear();
			notifyAll();
		}
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	/** Starts another life of the minion under a new id. */
	synchronized void begin() throws IOException {
		this.life++;
		this.id = "i-" + this.name + "-" + this.life;
		this.bornMillis = System.currentTimeMillis();
		this.bornNanos = System.nanoTime();
		this.epoch = 0;
		this.deadline = 0;
		this.lastEnd = 0;
		this.sequence = 0;
		this.running.clear();
		this.finished.clear();
		this.ended.clear();
		this.threads = Executors.newCachedThreadPool((work) -> {
			Thread thread = new Thread(work, "minion-" + this.name);
			thread.setDaemon(true);
			return thread;
		});
		this.server = HttpServer.create(new InetSocketAddress(this.ip, 8529), 100);
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
		this.up = true;
		this.log.write("minion " + this.id + " is up");
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
			exchange.getResponseHeaders().set("X-Instance-Id", id());
			String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
			if (expected != null && !expected.equals(id())) {
				Http.answer(exchange, 421, reply());
				return;
			}
			switch (exchange.getRequestURI().getPath()) {
				case "/run-start" -> startRun(exchange, body);
				case "/run-stop" -> stopRun(exchange, body);
				case "/hold" -> hold(exchange, body);
				default -> Http.answer(exchange, 404, reply());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private synchronized boolean obeys(JsonNode body) {
		long token = body.path("fencing_token").asLong();
		if (token < this.epoch) {
			return false;
		}
		this.epoch = token;
		return true;
	}

	private synchronized void extend(JsonNode body) {
		if (body.has("deadline_ms")) {
			long limit = clockMillis() + this.maxHoldMillis;
			this.deadline = Math.max(this.deadline, Math.min(limit, body.path("deadline_ms").asLong()));
		}
	}

	private void startRun(HttpExchange exchange, JsonNode body) throws IOException {
		String task = body.path("task").asText();
		int run = body.path("run").asInt();
		if (this.shed.test(task)) {
			this.log.write("minion " + id() + " turns away start of " + task + " run " + run + " with 503");
			Http.answer(exchange, 503, reply());
			return;
		}
		String reason = null;
		synchronized (this) {
			RunState known = this.running.get(task);
			if (!obeys(body)) {
				reason = "fence";
			}
			else if (body.path("deadline_ms").asLong() <= clockMillis()) {
				reason = "late";
			}
			else if (run <= this.finished.getOrDefault(task, 0) || (known != null && known.run() > run)) {
				extend(body);
				reason = "old";
			}
			else {
				extend(body);
				if (known == null) {
					this.running.put(task, new RunState(run, workMillis(body.path("spec").asText()), System.nanoTime()));
					this.begun.add(task.substring(0, task.indexOf('.')));
					this.log.write("minion " + this.id + " starts " + task + " run " + run);
				}
			}
		}
		if (reason == null) {
			Http.answer(exchange, 200, reply());
			return;
		}
		this.log.write("minion " + id() + " rejects start of " + task + " run " + run + ": " + reason);
		Http.answer(exchange, 409, reply().put("reason", reason));
	}

	private static long workMillis(String spec) {
		return Long.parseLong(spec.substring(spec.indexOf("work=") + 5).split("[^0-9]")[0]);
	}

	private void stopRun(HttpExchange exchange, JsonNode body) throws IOException {
		String task = body.path("task").asText();
		int run = body.path("run").asInt();
		boolean fenced;
		synchronized (this) {
			fenced = !obeys(body);
			if (!fenced) {
				RunState known = this.running.get(task);
				if (known != null && known.run() <= run) {
					end(task, "stopped");
				}
				this.finished.merge(task, run, Math::max);
			}
		}
		Http.answer(exchange, fenced ? 409 : 200, fenced ? reply().put("reason", "fence") : reply());
	}

	private void hold(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
		ObjectNode answer;
		synchronized (this) {
			if (!obeys(body)) {
				Http.answer(exchange, 409, reply().put("reason", "fence"));
				return;
			}
			extend(body);
			long cursor = body.path("ack_cursor").asLong();
			this.ended.removeIf((end) -> end.path(0).asLong() <= cursor);
			long end = System.nanoTime() + Math.min(2_000, body.path("wait_ms").asLong()) * 1_000_000;
			while (this.ended.isEmpty() && this.up && System.nanoTime() < end) {
				wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
			}
			answer = reply();
			ArrayNode runs = answer.putArray("running");
			this.running.forEach((task, state) -> runs.addArray()
				.add(task)
				.add(state.run())
				.add("")
				.add(percent(state))
				.add(0));
			ArrayNode ends = answer.putArray("ended");
			this.ended.stream().limit(500).forEach(ends::add);
		}
		Http.answer(exchange, 200, answer);
	}

	private static int percent(RunState state) {
		return (int) Math.min(100, (System.nanoTime() - state.startNanos()) / 10_000 / Math.max(1, state.workMillis()));
	}

	private synchronized void end(String task, String how) {
		RunState state = this.running.remove(task);
		this.finished.merge(task, state.run(), Math::max);
		this.ended.add(Store.JSON.createArrayNode().add(++this.lastEnd).add(task).add(state.run()).add(how).add(""));
		this.log.write("minion " + this.id + " ends " + task + " run " + state.run() + ": " + how);
		notifyAll();
	}

	private synchronized void tick() {
		if (!this.up) {
			return;
		}
		boolean lapsed = clockMillis() > this.deadline;
		Map.copyOf(this.running).forEach((task, state) -> {
			boolean done = System.nanoTime() - state.startNanos() >= state.workMillis() * 1_000_000;
			if (done || lapsed) {
				end(task, done ? "done" : "lapsed");
			}
		});
	}

	private void announce() {
		ObjectNode body;
		String path;
		synchronized (this) {
			if (!this.up) {
				return;
			}
			body = reply().put("service", this.service).put("address", this.ip + ":8529").put("zone", this.zone);
			body.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
			body.put("call_sequence", ++this.sequence);
			body.putObject("capacity").put("cpu", 32_000).put("requested_memory_mb", 131_072).put("gpu", 8);
			ArrayNode names = body.putArray("labels");
			this.labels.forEach(names::add);
			path = "/instances/" + this.id + "/heartbeat";
		}
		Http.send("POST", "http://" + this.ip + ":8526" + path, null, null, body.toString(), 1_000);
	}

	private synchronized ObjectNode reply() {
		return Store.JSON.createObjectNode().put("clock_ms", clockMillis()).put("born", this.bornMillis);
	}

	private long clockMillis() {
		return 1_000 + (System.nanoTime() - this.bornNanos) / 1_000_000;
	}

}
