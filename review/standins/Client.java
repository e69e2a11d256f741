import com.fasterxml.jackson.databind.node.ObjectNode;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A client of the platform: it presents its tenant's key, waits three seconds, and asks again elsewhere. */
final class Client {

	static final String KEY = "d4a3hwrr6x73d3zji9n7";

	static final String HOST = "nony24.example";

	private static final int TIMEOUT_MILLIS = 3_000;

	private static final int ATTEMPTS = 40;

	private final Cluster cluster;

	private final HttpClient http;

	private int next;

	Client(Cluster cluster) {
		this.cluster = cluster;
		this.http = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.executor(cluster.executor())
			.connectTimeout(Duration.ofMillis(TIMEOUT_MILLIS))
			.build();
	}

	/** Hands a job in until it is accepted. */
	boolean submit(String prefix, String id, ObjectNode job) {
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			int status = call("POST", prefix + id, job.toString()).status();
			if (status >= 200 && status < 300) {
				return true;
			}
			Store.pause(500);
		}
		return false;
	}

	/** Returns the state of a job, or the status of the answer if that is not 200. */
	String state(String prefix, String id) {
		Answer answer = call("GET", prefix + id, "");
		return (answer.status() == 200) ? Json.parse(answer.body()).path("state").asText()
				: Integer.toString(answer.status());
	}

	Answer call(String method, String path, String body) {
		String entry = this.cluster.entries.get(this.next++ % this.cluster.entries.size());
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + entry + path))
			.timeout(Duration.ofMillis(TIMEOUT_MILLIS))
			.header("Host", HOST)
			.header("X-Api-Key", KEY)
			.header("X-Remaining-Milliseconds", Integer.toString(TIMEOUT_MILLIS))
			.header("Content-Type", "application/json")
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body));
		Answer answer;
		try {
			HttpResponse<String> response = this.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
			answer = new Answer(response.statusCode(), response.body());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			answer = new Answer(0, "interrupted");
		}
		catch (java.io.IOException ex) {
			answer = new Answer(0, String.valueOf(ex.getMessage()));
		}
		this.cluster.record.line("client  " + method + " " + path + " at " + entry + " -> " + answer.status() + " "
				+ answer.body().replace('\n', ' '));
		return answer;
	}

	/** An answer; status 0 if there was none. */
	record Answer(int status, String body) {
	}

}
