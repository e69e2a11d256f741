package org.almondmount.daemon.cli;

import java.util.List;

import io.vavr.control.Either;
import org.almondmount.settings.SettingsFault;
import org.almondmount.settings.impl.SettingsReader;
import org.kohsuke.args4j.Argument;

/**
 * Checks a settings file.
 */
public final class CheckConfigCommand extends Command {

	@Argument(metaVar = "FILE", required = true, usage = "the settings of an entry or a target")
	private String file;

	@Override
	String purpose() {
		return "Tells all faults of a settings file; ends with 0 if there are none.";
	}

	@Override
	ExitStatus run(Console console) {
		String text = SettingsFile.read(this.file);
		boolean forTarget = SettingsReader.isForTarget(text);
		Either<List<SettingsFault>, ?> result = forTarget ? SettingsReader.readTarget(text)
				: SettingsReader.readEntry(text);
		if (result.isLeft()) {
			return SettingsFile.tell(console, this.file, result.getLeft());
		}
		console.out().println(this.file + ": settings of " + (forTarget ? "a target" : "an entry") + ", no faults");
		return ExitStatus.DONE;
	}

}
