import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The HTTP servers of the stand-ins.
 */
final class Http {

	/** Answers one call. */
	interface Handler {

		Answer handle(HttpExchange exchange, String body) throws Exception;

	}

	/**
	 * An answer.
	 *
	 * @param status the status; 0 closes the connection without an answer
	 * @param body the body
	 * @param headers further headers
	 */
	record Answer(int status, String body, Map<String, String> headers) {

		Answer(int status, Object body) {
			this(status, Json.write(body), Map.of());
		}

	}

	private Http() {
	}

	static HttpServer serve(InetSocketAddress address, Handler handler) throws IOException {
		HttpServer server = HttpServer.create(address, 256);
		server.setExecutor(Executors.newCachedThreadPool((work) -> {
			Thread thread = new Thread(work, "stand-in");
			thread.setDaemon(true);
			return thread;
		}));
		server.createContext("/", (exchange) -> {
			try {
				String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
				Answer answer = handler.handle(exchange, body);
				if (answer.status() != 0) {
					byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
					exchange.getResponseHeaders().add("Content-Type", "application/json");
					answer.headers().forEach(exchange.getResponseHeaders()::add);
					exchange.sendResponseHeaders(answer.status(), (bytes.length == 0) ? -1 : bytes.length);
					exchange.getResponseBody().write(bytes);
				}
			}
			catch (IOException ex) {
				// The caller has closed its connection.
			}
			catch (Exception ex) {
				ex.printStackTrace();
			}
			finally {
				exchange.close();
			}
		});
		server.start();
		return server;
	}

	static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new HashMap<>();
		String query = exchange.getRequestURI().getRawQuery();
		if (query != null) {
			for (String part : query.split("&")) {
				int equals = part.indexOf('=');
				values.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return values;
	}

}
