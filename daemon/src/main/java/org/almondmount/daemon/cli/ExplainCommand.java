package org.almondmount.daemon.cli;

import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;

/**
 * Explains a job or a request.
 */
public final class ExplainCommand extends ServerCommand {

	@Argument(metaVar = "ID", required = true, usage = "a job or a request")
	private String subject;

	@Override
	String purpose() {
		return "Tells why a job stands where it does or why a request ended as it did.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		HttpAnswer answer = send(console, client, "GET", "/v1/explain/" + Paths.segment(this.subject), new byte[0],
				Map.of());
		return (answer != null) ? show(console, answer) : ExitStatus.FAILED;
	}

}
