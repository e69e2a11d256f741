package org.almondmount.daemon.cli;

import java.util.List;

import io.vavr.control.Either;
import org.almondmount.daemon.target.TargetDaemon;
import org.almondmount.http.impl.NettyHttpClient;
import org.almondmount.net.IoThreads;
import org.almondmount.services.impl.HttpWorkerClient;
import org.almondmount.settings.SettingsFault;
import org.almondmount.settings.TargetSettings;
import org.almondmount.settings.impl.SettingsReader;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.impl.NettyWireEndpoint;
import org.kohsuke.args4j.Option;

/**
 * Runs a target.
 */
public final class TargetCommand extends Command {

	private static final int WORKER_CONNECTIONS = 4;

	@Option(name = "--config", metaVar = "FILE", required = true, usage = "its settings")
	private String file;

	@Override
	String purpose() {
		return "Runs a target until SIGTERM, then drains it.";
	}

	@Override
	ExitStatus run(Console console) {
		Either<List<SettingsFault>, TargetSettings> read = SettingsReader.readTarget(SettingsFile.read(this.file));
		if (read.isLeft()) {
			return SettingsFile.tell(console, this.file, read.getLeft());
		}
		TargetSettings settings = read.get();
		IoThreads io = new IoThreads("target-io", 1);
		Telemetry telemetry = new Telemetry();
		int largestAnswer = settings.peer().maxFrameBytes();
		NettyHttpClient instance = new NettyHttpClient(io, settings.connections(), largestAnswer);
		NettyHttpClient worker = new NettyHttpClient(io, WORKER_CONNECTIONS, largestAnswer);
		TargetDaemon daemon = new TargetDaemon(settings, instance, new HttpWorkerClient(worker, settings.workerApi()),
				new NettyWireEndpoint(io, telemetry), telemetry);
		daemon.start();
		Lifetime.untilTold(daemon::drain, settings.timing().drain());
		return ExitStatus.DONE;
	}

}
