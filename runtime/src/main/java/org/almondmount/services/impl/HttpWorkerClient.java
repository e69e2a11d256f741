package org.almondmount.services.impl;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.http.HttpFailure;
import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.services.WorkerClient;

/**
 * Worker client that uses HTTP with JSON. Thread-safe. Each call is sent once, without
 * retries; all calls are idempotent, so the caller can repeat them.
 */
public final class HttpWorkerClient implements WorkerClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int MIN_SERVER_ERROR = 500;

	private final HttpClient client;

	private final InetSocketAddress worker;

	public HttpWorkerClient(HttpClient client, InetSocketAddress worker) {
		this.client = client;
		this.worker = worker;
	}

	@Override
	public CompletableFuture<Void> start(Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint,
			Duration lease) {
		Resources need = spec.shape().perMember();
		ObjectNode body = Json.createObject();
		body.put("job", attempt.job().value()).put("attempt", attempt.number()).put("member", member);
		body.put("members", spec.shape().members()).put("customer", spec.customer().value());
		body.put("accelerators", need.accelerators()).put("cores", need.cores()).put("memoryMb", need.memoryMb());
		body.put("checkpointEveryMillis", spec.checkpointEvery().toMillis()).put("program", spec.program());
		body.put("fromCheckpoint", fromCheckpoint).put("leaseMillis", lease.toMillis());
		return sendCommand(Json.call("POST", "/v1/tasks", body));
	}

	@Override
	public CompletableFuture<Void> renew(Attempt attempt, int member, Duration lease) {
		return sendCommand(Json.call("POST", path(attempt, member, "renew"),
				Json.createObject().put("leaseMillis", lease.toMillis())));
	}

	@Override
	public CompletableFuture<Void> suspend(Attempt attempt, int member) {
		return sendCommand(Json.call("POST", path(attempt, member, "suspend")));
	}

	@Override
	public CompletableFuture<Void> stop(Attempt attempt, int member) {
		return sendCommand(Json.call("POST", path(attempt, member, "stop")));
	}

	@Override
	public CompletableFuture<Void> throttle(Attempt attempt, int member) {
		return sendCommand(Json.call("POST", path(attempt, member, "throttle")));
	}

	@Override
	public CompletableFuture<List<TaskReport>> tasks() {
		return this.client.send(this.worker, Json.call("GET", "/v1/tasks"), TIMEOUT).thenApply((answer) -> {
			requireSuccess(answer);
			List<TaskReport> reports = new ArrayList<>();
			for (JsonNode task : Json.parseBody(answer).path("tasks")) {
				reports.add(parseReport(task));
			}
			return reports;
		});
	}

	private CompletableFuture<Void> sendCommand(HttpCall call) {
		return this.client.send(this.worker, call, TIMEOUT).thenAccept(this::requireSuccess);
	}

	private void requireSuccess(HttpAnswer answer) {
		if (answer.status() >= 300) {
			String detail = Json.parseBody(answer).path("detail").asText();
			throw new HttpFailure(this.worker.toString(), "the worker answered " + answer.status() + " " + detail,
					answer.status() >= MIN_SERVER_ERROR);
		}
	}

	private static String path(Attempt attempt, int member, String command) {
		return "/v1/tasks/" + attempt.job() + "/" + attempt.number() + "/" + member + "/" + command;
	}

	private static TaskReport parseReport(JsonNode task) {
		Attempt attempt = new Attempt(new JobId(task.path("job").asText()), task.path("attempt").asInt());
		JsonNode used = task.path("used");
		Resources resources = new Resources(used.path("accelerators").asInt(), used.path("cores").asInt(),
				used.path("memoryMb").asInt());
		return new TaskReport(attempt, task.path("member").asInt(), task.path("state").asText(),
				task.path("checkpoints").asInt(), resources);
	}

}
