package org.almondmount.daemon.cli;

import java.time.Duration;
import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Shows a job.
 */
public final class JobCommand extends ServerCommand {

	@Argument(metaVar = "ID", required = true, usage = "the job")
	private String job;

	@Option(name = "--wait", metaVar = "TIME", usage = "wait that long for the ending, such as 10m")
	private String wait;

	@Override
	String purpose() {
		return "Shows a job. With --wait it ends with 0 only if the job succeeded in that time.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		if (this.wait != null) {
			return await(this, console, client, this.job, duration("--wait", this.wait));
		}
		HttpAnswer answer = send(console, client, "GET", "/v1/jobs/" + Paths.segment(this.job), new byte[0], Map.of());
		return (answer != null) ? show(console, answer) : ExitStatus.FAILED;
	}

	static ExitStatus await(ServerCommand command, Console console, NettyHttpClient client, String job,
			Duration longest) {
		HttpAnswer answer = new JobWait(command, console, client).until(Paths.segment(job), longest);
		if (answer == null) {
			return ExitStatus.FAILED;
		}
		command.show(console, answer);
		return JobWait.hasSucceeded(answer) ? ExitStatus.DONE : ExitStatus.FAILED;
	}

}
