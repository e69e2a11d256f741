package org.almondmount.daemon.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.almondmount.http.HttpAnswer;

/**
 * A refusal for people. Immutable.
 *
 * @param answer the refusal as it came
 */
record RefusalText(HttpAnswer answer) {

	void print(Console console, boolean json) {
		JsonNode problem = problem();
		if (json && problem.isObject()) {
			console.out().println(problem.toPrettyString());
			return;
		}
		if (!problem.has("kind")) {
			String body = new String(this.answer.body(), StandardCharsets.UTF_8);
			console.err().println("refused with status " + this.answer.status() + ": " + Console.printable(body));
			return;
		}
		line(console, "refused", problem.path("kind").asText() + ": " + problem.path("detail").asText());
		line(console, "remedy", problem.path("remedy").asText());
		line(console, "ran", problem.path("ran").asText());
		String again = this.answer.headers().get("retry-after");
		if (again != null) {
			line(console, "come back", "in " + again + " s");
		}
	}

	private JsonNode problem() {
		try {
			JsonNode problem = ServerCommand.JSON.readTree(this.answer.body());
			return (problem != null) ? problem : MissingNode.getInstance();
		}
		catch (IOException ex) {
			return MissingNode.getInstance();
		}
	}

	private static void line(Console console, String name, String value) {
		console.err().println(name + ": " + Console.printable(value));
	}

}
