import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * Stand-in for a minion, as PROTOCOL.md describes it. It is sound: it starts what it is told to start, keeps
 * the highest fencing token, honours leases, lists ends until they are acknowledged, 500 at a time, and runs
 * each task for the time that the case gives. It knows no checkpoints.
 */
final class Minion {

	private static final int ENDS_AT_A_TIME = 500;

	private static final long MAX_HOLD_MILLIS = 10_000;

	private static final long HEARTBEAT_MILLIS = 1_500;

	/** The work of a task that lasts. */
	static final long LASTS = -1;

	/** When a task that lasts is at work. */
	private static final long STARTUP_MILLIS = 500;

	final String name;

	private final String kind;

	private final String rack;

	private final String zone;

	private final Gangs gangs;

	private final InetSocketAddress address;

	private final String controlPlane;

	private final ExecutorService executor;

	private final Record record;

	private final ToLongFunction<String> workMillis;

	private final HttpClient http;

	private volatile Life life;

	private volatile boolean unhealthy;

	Minion(String name, String zone, String kind, String rack, InetSocketAddress address, String controlPlane,
			ExecutorService executor, Record record, Gangs gangs, ToLongFunction<String> workMillis) {
		this.name = name;
		this.zone = zone;
		this.kind = kind;
		this.rack = rack;
		this.gangs = gangs;
		this.address = address;
		this.controlPlane = controlPlane;
		this.executor = executor;
		this.record = record;
		this.workMillis = workMillis;
		this.http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(executor).build();
	}

	/** Begins a life of the minion under the id that it always has. */
	void start() throws IOException {
		this.life = new Life();
		this.record.line("minion " + this.name + " up, born " + this.life.born);
	}

	/** Ends the life without notice: everything that runs there is gone. */
	void crash() {
		Life ended = this.life;
		this.life = null;
		ended.crash();
		this.record.line("minion " + this.name + " crashed with " + ended.runCount() + " runs");
	}

	/** Answers each call with 503 and does nothing, or serves calls again; heartbeats go on. */
	void unhealthy(boolean fails) {
		this.unhealthy = fails;
		this.record.line("minion " + this.name + (fails ? " is unhealthy: it answers 503" : " is healthy again"));
	}

	boolean isUp() {
		return this.life != null;
	}

	int runCount() {
		Life current = this.life;
		return (current != null) ? current.runCount() : 0;
	}

	private final class Life {

		private final long bornNanos = System.nanoTime();

		private final long born = System.currentTimeMillis();

		private final Map<String, Running> running = new LinkedHashMap<>();

		private final List<Ended> ended = new ArrayList<>();

		/** The highest run that was stopped or ended, by task. */
		private final Map<String, Integer> finished = new HashMap<>();

		private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, (work) -> {
			Thread thread = new Thread(work, "minion-timer");
			thread.setDaemon(true);
			return thread;
		});

		private final HttpServer server;

		private long fence;

		private long leaseUntil;

		private long acknowledged;

		private long lastEnd;

		private long lapsedAtEnd;

		private long sequence;

		private boolean over;

		Life() throws IOException {
			this.server = HttpServer.create(Minion.this.address, 1024);
			this.server.setExecutor(Minion.this.executor);
			this.server.createContext("/run-start", (exchange) -> handle(exchange, this::start));
			this.server.createContext("/run-stop", (exchange) -> handle(exchange, this::stop));
			this.server.createContext("/hold", (exchange) -> handle(exchange, this::hold));
			this.server.start();
			this.timer.scheduleAtFixedRate(this::heartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
			this.timer.scheduleAtFixedRate(this::lapse, 20, 20, TimeUnit.MILLISECONDS);
		}

		synchronized int runCount() {
			return this.running.size();
		}

		void crash() {
			this.server.stop(0);
			synchronized (this) {
				this.over = true;
				this.running.forEach((task, run) -> {
					Minion.this.record.crashed(task, run.number);
					if (Minion.this.gangs.contains(task)) {
						Minion.this.gangs.leave(task, run.number);
					}
				});
				this.running.clear();
				notifyAll();
			}
			this.timer.shutdownNow();
		}

		private long clock() {
			return 1_000 + (System.nanoTime() - this.bornNanos) / 1_000_000;
		}

		private void handle(HttpExchange exchange, Action action) throws IOException {
			JsonNode body = Json.body(exchange);
			ObjectNode answer = Json.object();
			String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
			int status = 503;
			if (!Minion.this.unhealthy) {
				boolean meant = expected == null || expected.equals(Minion.this.name);
				status = meant ? action.apply(body, answer) : 421;
			}
			synchronized (this) {
				if (this.over) {
					exchange.close();
					return;
				}
			}
			exchange.getResponseHeaders().set("X-Instance-Id", Minion.this.name);
			answer.put("clock_ms", clock()).put("born", this.born);
			Json.answer(exchange, status, answer);
		}

		private synchronized int start(JsonNode body, ObjectNode answer) {
			String task = body.path("task").asText();
			int number = body.path("run").asInt();
			long deadline = body.path("deadline_ms").asLong();
			if (body.path("fencing_token").asLong() < this.fence) {
				answer.put("reason", "fence");
				return 409;
			}
			this.fence = body.path("fencing_token").asLong();
			if (deadline <= clock()) {
				answer.put("reason", "late");
				return 409;
			}
			extendLease(deadline);
			Running present = this.running.get(task);
			if (present != null && present.number == number) {
				return 200;
			}
			if (number <= this.finished.getOrDefault(task, 0) || (present != null && present.number > number)) {
				answer.put("reason", "old");
				return 409;
			}
			long millis = Minion.this.workMillis.applyAsLong(task);
			this.running.put(task, new Running(number, clock(), millis));
			Minion.this.record.started(Minion.this.name, task, number, this.fence, body.path("spec").asText());
			if (Minion.this.gangs.contains(task)) {
				Minion.this.gangs.join(task, number, Minion.this.rack, millis, this::end);
			}
			else if (millis != LASTS) {
				this.timer.schedule(() -> end(task, number, "done"), millis, TimeUnit.MILLISECONDS);
			}
			return 200;
		}

		private synchronized int stop(JsonNode body, ObjectNode answer) {
			String task = body.path("task").asText();
			int number = body.path("run").asInt();
			if (body.path("fencing_token").asLong() < this.fence) {
				answer.put("reason", "fence");
				return 409;
			}
			this.fence = body.path("fencing_token").asLong();
			this.finished.merge(task, number, Math::max);
			Running present = this.running.get(task);
			if (present != null && present.number == number) {
				this.timer.schedule(() -> end(task, number, "stopped"), 100, TimeUnit.MILLISECONDS);
			}
			return 200;
		}

		private synchronized int hold(JsonNode body, ObjectNode answer) {
			if (body.path("fencing_token").asLong() < this.fence) {
				answer.put("reason", "fence");
				return 409;
			}
			this.fence = body.path("fencing_token").asLong();
			if (body.path("deadline_ms").asLong() > 0) {
				extendLease(body.path("deadline_ms").asLong());
			}
			long cursor = body.path("ack_cursor").asLong();
			if (cursor > this.acknowledged) {
				for (Ended end : this.ended) {
					if (end.sequence > this.acknowledged && end.sequence <= cursor) {
						Minion.this.record.noted(end.task, end.run, end.sequence <= this.lapsedAtEnd);
					}
				}
				this.acknowledged = cursor;
				this.ended.removeIf((end) -> end.sequence <= cursor);
			}
			awaitEnd(Math.min(2_000, body.path("wait_ms").asLong()));
			ArrayNode runs = answer.putArray("running");
			this.running.forEach((task, run) -> {
				long work = (run.millis == LASTS) ? STARTUP_MILLIS : run.millis;
				long percent = Math.min(100, (clock() - run.startedAt) * 100 / work);
				runs.addArray().add(task).add(run.number).add("").add(percent).add(0);
			});
			ArrayNode ends = answer.putArray("ended");
			for (Ended end : this.ended) {
				if (ends.size() < ENDS_AT_A_TIME) {
					ends.addArray().add(end.sequence).add(end.task).add(end.run).add(end.how).add("");
				}
			}
			return 200;
		}

		private void awaitEnd(long millis) {
			long until = System.nanoTime() + millis * 1_000_000;
			while (this.ended.isEmpty() && !this.over && System.nanoTime() < until) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		}

		private void extendLease(long deadline) {
			this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, clock() + MAX_HOLD_MILLIS));
		}

		private synchronized void lapse() {
			if (this.leaseUntil == 0 || clock() < this.leaseUntil) {
				return;
			}
			List.copyOf(this.running.keySet()).forEach((task) -> end(task, this.running.get(task).number, "lapsed"));
			this.lapsedAtEnd = this.lastEnd;
		}

		private synchronized void end(String task, int number, String how) {
			Running present = this.running.get(task);
			if (this.over || present == null || present.number != number) {
				return;
			}
			this.running.remove(task);
			this.finished.merge(task, number, Math::max);
			this.ended.add(new Ended(++this.lastEnd, task, number, how));
			Minion.this.record.ended(Minion.this.name, task, number, how);
			if (!how.equals("done") && Minion.this.gangs.contains(task)) {
				Minion.this.gangs.leave(task, number);
			}
			notifyAll();
		}

		private void heartbeat() {
			ObjectNode beat = Json.object();
			beat.put("service", "render").put("address", Cluster.text(Minion.this.address));
			beat.put("zone", Minion.this.zone).put("version", "v1").put("slots", 8).put("state", "ready");
			beat.put("cold_remaining_ms", 0).put("clock_ms", clock()).put("born", this.born);
			beat.put("call_sequence", ++this.sequence);
			beat.putObject("capacity").put("cpu", 32_000).put("requested_memory_mb", 131_072).put("gpu", 8);
			beat.putArray("labels").add(Minion.this.kind).add(Minion.this.rack);
			HttpRequest request = HttpRequest
				.newBuilder(URI.create(
						"http://" + Minion.this.controlPlane + "/instances/" + Minion.this.name + "/heartbeat"))
				.timeout(Duration.ofSeconds(1))
				.header("Content-Type", "application/json")
				.POST(HttpRequest.BodyPublishers.ofString(beat.toString()))
				.build();
			Minion.this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
		}

	}

	private interface Action {

		int apply(JsonNode body, ObjectNode answer);

	}

	private record Running(int number, long startedAt, long millis) {
	}

	private record Ended(long sequence, String task, int run, String how) {
	}

}
