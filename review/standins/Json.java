import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** JSON and HTTP helpers of the stand-ins. */
final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	static ArrayNode array() {
		return MAPPER.createArrayNode();
	}

	static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("not JSON: " + text, ex);
		}
	}

	static JsonNode body(HttpExchange exchange) throws IOException {
		byte[] bytes = exchange.getRequestBody().readAllBytes();
		return (bytes.length == 0) ? object() : MAPPER.readTree(bytes);
	}

	static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new HashMap<>();
		String query = exchange.getRequestURI().getRawQuery();
		if (query == null) {
			return values;
		}
		for (String pair : query.split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				values.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return values;
	}

}
