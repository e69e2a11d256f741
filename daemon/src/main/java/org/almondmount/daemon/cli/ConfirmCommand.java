package org.almondmount.daemon.cli;

import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;

/**
 * Confirms a plan.
 */
public final class ConfirmCommand extends ServerCommand {

	@Argument(metaVar = "PLAN", required = true, usage = "the plan")
	private String plan;

	@Override
	String purpose() {
		return "Makes a plan so. It is refused if another change was accepted since it was made.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		String path = "/v1/plans/" + Paths.segment(this.plan) + "/confirm";
		HttpAnswer answer = send(console, client, "POST", path, new byte[0], Map.of());
		return (answer != null) ? show(console, answer) : ExitStatus.FAILED;
	}

}
