package org.almondmount.daemon.cli;

import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;

/**
 * Cancels a job.
 */
public final class CancelCommand extends ServerCommand {

	@Argument(metaVar = "ID", required = true, usage = "the job")
	private String job;

	@Override
	String purpose() {
		return "Cancels a job.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		HttpAnswer answer = send(console, client, "DELETE", "/v1/jobs/" + Paths.segment(this.job), new byte[0],
				Map.of());
		return (answer != null) ? show(console, answer) : ExitStatus.FAILED;
	}

}
