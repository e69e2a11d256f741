package org.almondmount.services.impl;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;

/**
 * Creates HTTP calls with JSON bodies and parses JSON answers.
 */
final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Map<String, String> HEADERS = Map.of("content-type", "application/json");

	private static final byte[] EMPTY_BODY = new byte[0];

	private Json() {
	}

	static ObjectNode createObject() {
		return MAPPER.createObjectNode();
	}

	static HttpCall call(String method, String path) {
		return new HttpCall(method, path, Map.of(), EMPTY_BODY);
	}

	static HttpCall call(String method, String path, JsonNode body) {
		try {
			return new HttpCall(method, path, HEADERS, MAPPER.writeValueAsBytes(body));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("the JSON tree could not be serialized", ex);
		}
	}

	/**
	 * Parses the body of an answer.
	 * @param answer the answer
	 * @return the JSON tree, or a missing node if the body is not valid JSON
	 */
	static JsonNode parseBody(HttpAnswer answer) {
		try {
			JsonNode node = MAPPER.readTree(answer.body());
			return (node != null) ? node : MissingNode.getInstance();
		}
		catch (IOException ex) {
			return MissingNode.getInstance();
		}
	}

	static String urlEncode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
