package org.almondmount.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.almondmount.settings.SettingsFault;

/**
 * Settings files on the command line.
 */
final class SettingsFile {

	private SettingsFile() {
	}

	static String read(String file) {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new WrongUsageException(file + ": can't be read; see its name, permissions and encoding");
		}
	}

	static ExitStatus tell(Console console, String file, List<SettingsFault> faults) {
		faults.forEach((fault) -> console.err().println(Console.printable(file + ": " + fault.line())));
		console.err().println(file + ": " + faults.size() + ((faults.size() == 1) ? " fault" : " faults"));
		return ExitStatus.FAILED;
	}

}
