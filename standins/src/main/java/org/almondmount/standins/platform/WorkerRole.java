package org.almondmount.standins.platform;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.model.Resources;

/**
 * A worker that runs tasks on timers, under leases that it enforces by itself. Belongs to
 * the I/O thread.
 */
public final class WorkerRole implements Role {

	private static final long TICK_MILLIS = 20;

	private static final long LONGEST_STEP_MILLIS = 200;

	private static final int MOST_ENDED = 2_000;

	private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

	private final String name;

	private final Resources capacity;

	private final HttpClient client;

	private final InetSocketAddress objects;

	private final Faults faults;

	private final EventRecord events;

	private final Map<String, Task> tasks = new LinkedHashMap<>();

	private long lastTickMillis;

	/**
	 * Makes a worker.
	 * @param name its name in events
	 * @param capacity what its tasks can use together
	 * @param client for the object store
	 * @param objects where the object store listens
	 * @param faults the faults that can be set
	 * @param events starts, checkpoints and endings, for checkers
	 */
	public WorkerRole(String name, Resources capacity, HttpClient client, InetSocketAddress objects, Faults faults,
			EventRecord events) {
		this.name = name;
		this.capacity = capacity;
		this.client = client;
		this.objects = objects;
		this.faults = faults;
		this.events = events;
		this.lastTickMillis = nowMillis();
	}

	/**
	 * Begins to run tasks.
	 * @param loop the I/O thread
	 */
	public void start(EventLoop loop) {
		loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void take(HttpCall call, Consumer<HttpAnswer> answer) {
		answer.accept(answer(call));
	}

	private HttpAnswer answer(HttpCall call) {
		List<String> path = List.of(Documents.path(call).split("/"));
		boolean tasksPath = path.size() >= 3 && path.get(2).equals("tasks");
		if (tasksPath && path.size() == 3) {
			return call.method().equals("GET") ? list() : startTask(Documents.body(call));
		}
		if (tasksPath && path.size() == 7) {
			String key = path.get(3) + "/" + path.get(4) + "/" + path.get(5);
			return order(key, path, Documents.body(call));
		}
		return Documents.problem(404, "no such path");
	}

	private HttpAnswer startTask(JsonNode order) {
		Task task;
		try {
			task = new Task(order, nowMillis());
		}
		catch (NumberFormatException ex) {
			return Documents.problem(400, "the program can't be read: " + ex.getMessage());
		}
		Task known = this.tasks.get(task.key());
		if (known != null) {
			return known.isRunning() ? Documents.done() : Documents.problem(409, "it has ended: " + known.state());
		}
		if (!fits(task)) {
			this.events.add("refused").put("worker", this.name).put("task", task.key());
			return Documents.problem(409, "not enough is free");
		}
		this.tasks.put(task.key(), task);
		event("start", task).put("members", order.path("members").asInt())
			.put("customer", order.path("customer").asText())
			.put("fromCheckpoint", order.path("fromCheckpoint").asBoolean());
		if (order.path("fromCheckpoint").asBoolean()) {
			loadCheckpoint(task);
		}
		else {
			task.load(0);
		}
		return Documents.done();
	}

	private HttpAnswer order(String key, List<String> path, JsonNode body) {
		Task task = this.tasks.get(key);
		String order = path.get(6);
		if (task == null && order.equals("stop")) {
			rememberAsStopped(path);
			return Documents.done();
		}
		if (task == null) {
			return Documents.problem(404, "no such task");
		}
		if (!task.isRunning()) {
			return order.equals("renew") ? Documents.problem(409, "it has ended: " + task.state()) : Documents.done();
		}
		switch (order) {
			case "renew" -> task.renew(nowMillis() + body.path("leaseMillis").asLong());
			case "suspend" -> suspend(task);
			case "stop" -> end(task, "stopped", "order");
			case "throttle" -> {
				task.throttle();
				event("throttle", task);
			}
			default -> {
				return Documents.problem(404, "no such order");
			}
		}
		return Documents.done();
	}

	// An order to stop may overtake the start that it is meant for. The start must then
	// find the task ended, else it would run with nobody to stop it.
	private void rememberAsStopped(List<String> path) {
		ObjectNode order = Documents.object();
		order.put("job", path.get(3)).put("attempt", Integer.parseInt(path.get(4)));
		order.put("member", Integer.parseInt(path.get(5)));
		Task task = new Task(order, nowMillis());
		task.end("stopped");
		this.tasks.put(task.key(), task);
	}

	private void suspend(Task task) {
		event("suspend", task);
		if (!this.faults.isOn(Fault.IGNORE_CHECKPOINTS)) {
			task.suspend();
		}
	}

	private HttpAnswer list() {
		ObjectNode document = Documents.object();
		ArrayNode list = document.putArray("tasks");
		long now = nowMillis();
		for (Task task : this.tasks.values()) {
			list.add(task.report(now));
		}
		return Documents.answer(200, document);
	}

	private void tick() {
		long now = nowMillis();
		long step = Math.min(now - this.lastTickMillis, LONGEST_STEP_MILLIS);
		this.lastTickMillis = now;
		for (Task task : List.copyOf(this.tasks.values())) {
			if (task.isRunning()) {
				step(task, now, step);
			}
		}
		forgetOldest();
	}

	private void step(Task task, long now, long millis) {
		if (task.leaseLapsed(now)) {
			end(task, "stopped", "lease");
			return;
		}
		if (this.faults.isOn(Fault.FAIL_TASKS)) {
			end(task, "worker-failed", "worker");
			return;
		}
		task.work(millis);
		if (task.isDone() && !task.isSuspending()) {
			end(task, task.endOfProgram(), "program");
		}
		else if (task.wantsCheckpoint()) {
			saveCheckpoint(task);
		}
	}

	private void saveCheckpoint(Task task) {
		double saved = task.beginCheckpoint();
		byte[] body = Long.toString((long) saved).getBytes(StandardCharsets.UTF_8);
		this.client.send(this.objects, new HttpCall("PUT", path(task), Map.of(), body), STORE_TIMEOUT)
			.whenComplete((answer, failure) -> {
				boolean written = failure == null && answer.status() == 200;
				task.endCheckpoint(saved, written);
				if (!written || !task.isRunning()) {
					return;
				}
				event("checkpoint", task).put("doneMillis", (long) saved);
				if (task.isSuspending()) {
					end(task, "suspended", "order");
				}
			});
	}

	private void loadCheckpoint(Task task) {
		this.client.send(this.objects, new HttpCall("GET", path(task), Map.of(), new byte[0]), STORE_TIMEOUT)
			.whenComplete((answer, failure) -> {
				if (failure != null || (answer.status() != 200 && answer.status() != 404)) {
					end(task, "worker-failed", "checkpoint");
				}
				else if (answer.status() == 404) {
					task.load(0);
				}
				else {
					task.load(Long.parseLong(new String(answer.body(), StandardCharsets.UTF_8)));
				}
			});
	}

	private void end(Task task, String state, String cause) {
		if (task.isRunning()) {
			task.end(state);
			event("end", task).put("state", state).put("cause", cause);
		}
	}

	private boolean fits(Task task) {
		int accelerators = task.accelerators();
		int cores = task.cores();
		int memoryMb = task.memoryMb();
		for (Task other : this.tasks.values()) {
			if (other.isRunning()) {
				accelerators += other.accelerators();
				cores += other.cores();
				memoryMb += other.memoryMb();
			}
		}
		return new Resources(accelerators, cores, memoryMb).fitsIn(this.capacity);
	}

	private void forgetOldest() {
		if (this.tasks.size() <= MOST_ENDED) {
			return;
		}
		for (Task task : this.tasks.values()) {
			if (!task.isRunning()) {
				this.tasks.remove(task.key());
				return;
			}
		}
	}

	private ObjectNode event(String what, Task task) {
		return task.identify(this.events.add(what).put("worker", this.name));
	}

	private static String path(Task task) {
		return "/v1/objects/" + URLEncoder.encode(task.checkpointName(), StandardCharsets.UTF_8);
	}

	private static long nowMillis() {
		return System.nanoTime() / 1_000_000;
	}

}
