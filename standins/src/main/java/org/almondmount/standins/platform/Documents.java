package org.almondmount.standins.platform;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;

/**
 * JSON in calls and answers of the stand-ins.
 */
final class Documents {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Map<String, String> HEADERS = Map.of("content-type", "application/json");

	private Documents() {
	}

	static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	static HttpAnswer answer(int status, JsonNode body) {
		try {
			return new HttpAnswer(status, HEADERS, MAPPER.writeValueAsBytes(body));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("a tree of JSON can always be written", ex);
		}
	}

	static HttpAnswer problem(int status, String detail) {
		return answer(status, object().put("status", status).put("detail", detail));
	}

	static HttpAnswer done() {
		return answer(200, object());
	}

	/**
	 * A call's body.
	 * @param call the call
	 * @return its tree; an empty object where it is none
	 */
	static JsonNode body(HttpCall call) {
		try {
			JsonNode body = MAPPER.readTree(call.body());
			return (body != null && body.isObject()) ? body : object();
		}
		catch (IOException ex) {
			return object();
		}
	}

	static String path(HttpCall call) {
		int query = call.path().indexOf('?');
		return (query < 0) ? call.path() : call.path().substring(0, query);
	}

	/**
	 * A parameter of a call's query.
	 * @param call the call
	 * @param name the parameter's name
	 * @return its value, empty if it is not there
	 */
	static String parameter(HttpCall call, String name) {
		int query = call.path().indexOf('?');
		if (query < 0) {
			return "";
		}
		for (String pair : call.path().substring(query + 1).split("&")) {
			if (pair.startsWith(name + "=")) {
				return decode(pair.substring(name.length() + 1));
			}
		}
		return "";
	}

	static String decode(String text) {
		return URLDecoder.decode(text, StandardCharsets.UTF_8);
	}

}
