package org.almondmount.daemon.cli;

import java.util.List;
import java.util.concurrent.CompletionException;

import io.vavr.control.Either;
import org.almondmount.daemon.entry.EntryDaemon;
import org.almondmount.daemon.entry.EntryDaemonFactory;
import org.almondmount.settings.EntrySettings;
import org.almondmount.settings.SettingsFault;
import org.almondmount.settings.impl.SettingsReader;
import org.kohsuke.args4j.Option;

/**
 * Runs an entry.
 */
public final class EntryCommand extends Command {

	@Option(name = "--config", metaVar = "FILE", required = true, usage = "its settings")
	private String file;

	@Override
	String purpose() {
		return "Runs an entry until SIGTERM, then drains it.";
	}

	@Override
	ExitStatus run(Console console) {
		Either<List<SettingsFault>, EntrySettings> read = SettingsReader.readEntry(SettingsFile.read(this.file));
		if (read.isLeft()) {
			return SettingsFile.tell(console, this.file, read.getLeft());
		}
		EntryDaemon daemon = EntryDaemonFactory.create(read.get());
		try {
			daemon.start().join();
		}
		catch (CompletionException ex) {
			console.err()
				.println("The entry can't listen (" + ex.getCause().getMessage()
						+ "); see http and peers in its settings and that no other process has the ports.");
			return ExitStatus.FAILED;
		}
		Lifetime.untilTold(daemon::drain, read.get().timing().drain());
		return ExitStatus.DONE;
	}

}
