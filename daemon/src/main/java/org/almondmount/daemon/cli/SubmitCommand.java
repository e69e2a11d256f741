package org.almondmount.daemon.cli;

import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Submits a job.
 */
public final class SubmitCommand extends ServerCommand {

	@Argument(metaVar = "FILE", required = true, usage = "the job as YAML or JSON")
	private String file;

	@Option(name = "--key", metaVar = "KEY", usage = "an idempotency key: a repeat with it submits nothing again")
	private String key;

	@Option(name = "--wait", metaVar = "TIME", usage = "wait that long for the ending, such as 10m")
	private String wait;

	@Override
	String purpose() {
		return "Submits a job from a file.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		byte[] body = bytes(readFile(this.file));
		Map<String, String> headers = (this.key != null) ? Map.of("idempotency-key", this.key) : Map.of();
		HttpAnswer answer = send(console, client, "POST", "/v1/jobs", body, headers);
		if (answer == null) {
			return ExitStatus.FAILED;
		}
		if (this.wait == null) {
			return show(console, answer);
		}
		String job = document(answer).path("job").asText();
		return JobCommand.await(this, console, client, job, duration("--wait", this.wait));
	}

}
