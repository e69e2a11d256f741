package org.almondmount.standins.platform;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;

/**
 * A service instance with a number of slots that counts every run by its
 * {@code x-request-id}. Belongs to the I/O thread.
 * <p>
 * The answer repeats the request's body and identifier. Headers of the request change its
 * run: {@code x-sleep-millis}, {@code x-status}, {@code x-answer-bytes}. A request over
 * the slots is refused with 503 and {@code x-not-started: true}, and not run.
 */
public final class InstanceRole implements Role {

	private static final long SERVICE_MILLIS = 10;

	private final String name;

	private final int slots;

	private final EventLoop loop;

	private final Faults faults;

	private final EventRecord events;

	private final Map<String, Integer> runs = new HashMap<>();

	private int running;

	private int mostRunning;

	private int refused;

	/**
	 * Makes an instance.
	 * @param name its name in answers and events
	 * @param slots requests that it works on at the same time
	 * @param loop the I/O thread
	 * @param faults the faults that can be set
	 * @param events runs and endings, for checkers
	 */
	public InstanceRole(String name, int slots, EventLoop loop, Faults faults, EventRecord events) {
		this.name = name;
		this.slots = slots;
		this.loop = loop;
		this.faults = faults;
		this.events = events;
	}

	@Override
	public void take(HttpCall call, Consumer<HttpAnswer> answer) {
		if (Documents.path(call).equals("/admin/runs")) {
			answer.accept(Documents.answer(200, counts()));
			return;
		}
		if (this.running >= this.slots) {
			this.refused++;
			HttpAnswer full = Documents.problem(503, "all slots are in use");
			answer.accept(new HttpAnswer(503, Map.of("x-not-started", "true"), full.body()));
			return;
		}
		this.running++;
		this.mostRunning = Math.max(this.mostRunning, this.running);
		String id = call.headers().getOrDefault("x-request-id", "");
		int run = this.runs.merge(id, 1, Integer::sum);
		this.events.add("run").put("instance", this.name).put("request", id).put("run", run).put("path", call.path());
		this.loop.schedule(() -> finish(call, id, answer), serviceMillis(call), TimeUnit.MILLISECONDS);
	}

	private void finish(HttpCall call, String id, Consumer<HttpAnswer> answer) {
		this.running--;
		int status = (int) orElse(this.faults.value(Fault.ERROR_STATUS), number(call, "x-status", 200));
		this.events.add("done").put("instance", this.name).put("request", id).put("status", status);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("content-type", call.headers().getOrDefault("content-type", "text/plain"));
		headers.put("x-request-id", id);
		headers.put("x-instance", this.name);
		long bytes = number(call, "x-answer-bytes", 0);
		answer.accept(new HttpAnswer(status, headers, (bytes > 0) ? new byte[(int) bytes] : call.body()));
	}

	private long serviceMillis(HttpCall call) {
		return orElse(this.faults.value(Fault.SERVICE_MILLIS), number(call, "x-sleep-millis", SERVICE_MILLIS));
	}

	private ObjectNode counts() {
		ObjectNode document = Documents.object();
		document.put("mostRunning", this.mostRunning).put("refused", this.refused).put("running", this.running);
		ObjectNode byRequest = document.putObject("runs");
		this.runs.forEach(byRequest::put);
		return document;
	}

	private static long number(HttpCall call, String header, long otherwise) {
		String value = call.headers().get(header);
		if (value == null) {
			return otherwise;
		}
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			return otherwise;
		}
	}

	private static long orElse(long value, long otherwise) {
		return (value != 0) ? value : otherwise;
	}

}
