package org.almondmount.daemon.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Sends one request to a service instance.
 */
public final class CallCommand extends ServerCommand {

	private static final Duration BEYOND_DEADLINE = Duration.ofSeconds(5);

	@Argument(metaVar = "PATH", required = true, usage = "the path at the service, such as code")
	private String path;

	@Option(name = "--body", metaVar = "TEXT", usage = "the request's body")
	private String body = "";

	@Option(name = "--body-file", metaVar = "FILE", usage = "a file with the request's body")
	private String bodyFile;

	@Option(name = "--idempotent", usage = "the request may be repeated")
	private boolean idempotent;

	@Option(name = "--key", metaVar = "KEY", usage = "an idempotency key: a repeat with it does not run again")
	private String key;

	@Option(name = "--deadline", metaVar = "TIME", usage = "how long the answer is of use, such as 5s")
	private String deadline = "30s";

	@Option(name = "--header", metaVar = "NAME=VALUE", usage = "a header to pass on; may be given again")
	private List<String> headers = new ArrayList<>();

	@Override
	String purpose() {
		return "Sends one request and writes its answer.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		Map<String, String> all = new LinkedHashMap<>();
		for (String header : this.headers) {
			int equals = header.indexOf('=');
			if (equals < 1) {
				throw new WrongUsageException("--header is " + header + "; give NAME=VALUE");
			}
			all.put(header.substring(0, equals), header.substring(equals + 1));
		}
		all.put("almondmount-idempotent", Boolean.toString(this.idempotent));
		all.put("almondmount-deadline", this.deadline);
		if (this.key != null) {
			all.put("idempotency-key", this.key);
		}
		Duration timeout = duration("--deadline", this.deadline).plus(BEYOND_DEADLINE);
		String place = "/v1/call/" + (this.path.startsWith("/") ? this.path.substring(1) : this.path);
		HttpAnswer answer = send(console, client, "POST", place, content(), all, timeout);
		if (answer == null) {
			return ExitStatus.FAILED;
		}
		if (asJson()) {
			console.out().println(JSON.valueToTree(new Outcome(answer.status(), answer.headers(), text(answer))));
		}
		else {
			console.out().writeBytes(answer.body());
			console.out().println();
		}
		return ExitStatus.DONE;
	}

	private byte[] content() {
		if (this.bodyFile == null) {
			return this.body.getBytes(StandardCharsets.UTF_8);
		}
		try {
			return Files.readAllBytes(Path.of(this.bodyFile));
		}
		catch (IOException ex) {
			throw new WrongUsageException(this.bodyFile + ": can't be read; see its name and permissions");
		}
	}

	private static String text(HttpAnswer answer) {
		return new String(answer.body(), StandardCharsets.UTF_8);
	}

	/**
	 * An answer for scripts.
	 */
	private record Outcome(int status, Map<String, String> headers, String body) {

	}

}
