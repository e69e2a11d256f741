import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** HTTP calls and answers of the stand-ins. */
final class Http {

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	private Http() {
	}

	static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	/** Sends a call; the status is 0 without an answer. */
	static Answer send(String method, String url, String host, String key, String body, long millis) {
		try {
			HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofMillis(millis));
			if (host != null) {
				request.header("Host", host);
			}
			if (key != null) {
				request.header("X-Api-Key", key).header("X-Remaining-Milliseconds", Long.toString(millis));
			}
			request.header("Content-Type", "application/json");
			request.method(method, (body == null) ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body));
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new Answer(response.statusCode(), response.body());
		}
		catch (IOException ex) {
			return new Answer(0, String.valueOf(ex));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Answer(0, "interrupted");
		}
	}

	record Answer(int status, String body) {
	}

}
