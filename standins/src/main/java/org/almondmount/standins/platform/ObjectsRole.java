package org.almondmount.standins.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;

/**
 * The platform's object store, in memory. Not thread-safe.
 */
public final class ObjectsRole implements Role {

	private static final String PREFIX = "/v1/objects/";

	private final Map<String, byte[]> objects = new HashMap<>();

	private final EventRecord events;

	public ObjectsRole(EventRecord events) {
		this.events = events;
	}

	@Override
	public void take(HttpCall call, Consumer<HttpAnswer> answer) {
		answer.accept(answer(call));
	}

	private HttpAnswer answer(HttpCall call) {
		String path = Documents.path(call);
		if (path.equals("/v1/objects")) {
			return list();
		}
		if (!path.startsWith(PREFIX)) {
			return Documents.problem(404, "no such path");
		}
		String name = Documents.decode(path.substring(PREFIX.length()));
		switch (call.method()) {
			case "PUT":
				this.objects.put(name, call.body());
				this.events.add("put").put("name", name);
				return Documents.done();
			case "DELETE":
				this.objects.remove(name);
				this.events.add("delete").put("name", name);
				return Documents.done();
			case "GET":
				return get(name, !Documents.parameter(call, "head").isEmpty());
			default:
				return Documents.problem(405, "no such method");
		}
	}

	private HttpAnswer get(String name, boolean head) {
		byte[] object = this.objects.get(name);
		if (object == null) {
			return Documents.problem(404, "no such object");
		}
		return new HttpAnswer(200, Map.of(), head ? new byte[0] : object);
	}

	private HttpAnswer list() {
		ObjectNode document = Documents.object();
		ArrayNode names = document.putArray("names");
		this.objects.keySet().stream().sorted().forEach(names::add);
		return Documents.answer(200, document);
	}

}
