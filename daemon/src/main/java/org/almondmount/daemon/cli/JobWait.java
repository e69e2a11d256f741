package org.almondmount.daemon.cli;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;

/**
 * Waits for a job's ending and shows meanwhile where it stands.
 */
final class JobWait {

	private static final long STEP_SECONDS = 2;

	private static final Duration STEP_TIMEOUT = Duration.ofSeconds(20);

	private final ServerCommand command;

	private final Console console;

	private final NettyHttpClient client;

	private String shown = "";

	JobWait(ServerCommand command, Console console, NettyHttpClient client) {
		this.command = command;
		this.console = console;
		this.client = client;
	}

	/**
	 * Waits.
	 * @param job the job
	 * @param longest how long at most
	 * @return the last answer, ended or not; null where a refusal has been told
	 */
	HttpAnswer until(String job, Duration longest) {
		long end = System.nanoTime() + longest.toNanos();
		while (true) {
			long left = TimeUnit.NANOSECONDS.toSeconds(end - System.nanoTime());
			long step = Math.max(0, Math.min(STEP_SECONDS, left));
			HttpAnswer answer = this.command.send(this.console, this.client, "GET",
					"/v1/jobs/" + job + "?wait=" + step + "s", new byte[0], Map.of(), STEP_TIMEOUT);
			if (answer == null || hasEnded(answer) || System.nanoTime() >= end) {
				return answer;
			}
			showProgress(job, ServerCommand.document(answer), longest.toSeconds() - left);
		}
	}

	static boolean hasEnded(HttpAnswer answer) {
		return ServerCommand.document(answer).path("phase").asText().equals("ended");
	}

	static boolean hasSucceeded(HttpAnswer answer) {
		return ServerCommand.document(answer).path("ending").asText().equals("succeeded");
	}

	private void showProgress(String job, JsonNode document, long seconds) {
		if (this.command.asJson()) {
			return;
		}
		String now = document.path("phase").asText() + ": " + document.path("why").asText();
		if (!now.equals(this.shown)) {
			this.shown = now;
			this.console.err().println(job + " after " + seconds + " s " + Console.printable(now));
		}
	}

}
