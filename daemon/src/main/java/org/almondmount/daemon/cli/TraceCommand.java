package org.almondmount.daemon.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;

/**
 * Tells from log files what became of a job, and why.
 */
public final class TraceCommand extends Command {

	@Argument(index = 0, metaVar = "ID", required = true, usage = "the job's identifier")
	private String job;

	@Argument(index = 1, metaVar = "LOG", required = true, multiValued = true,
			usage = "log files of the entries and targets")
	private List<String> files = new ArrayList<>();

	@Override
	String purpose() {
		return "Tells from the logs of entries and targets what became of a job, and why; ends with 1 if no line names it.";
	}

	@Override
	ExitStatus run(Console console) {
		List<LogLine> all = new ArrayList<>();
		for (String file : this.files) {
			read(file, all);
		}
		JobTrace trace = JobTrace.of(this.job, all);
		if (trace.lines().isEmpty()) {
			console.err()
				.println(Console.printable("no line names job " + this.job + "; give the logs of all entries"));
			return ExitStatus.FAILED;
		}
		long begin = trace.lines().get(0).millis();
		for (LogLine line : trace.lines()) {
			console.out()
				.println(Console
					.printable("+" + (line.millis() - begin) + " ms " + line.source() + " " + line.text().strip()));
		}
		trace.findings().forEach((finding) -> console.out().println(Console.printable("finding: " + finding)));
		return ExitStatus.DONE;
	}

	private static void read(String file, List<LogLine> all) {
		Path path = Path.of(file);
		// A log that was cut in the middle of a character is read all the same.
		try (BufferedReader lines = new BufferedReader(
				new InputStreamReader(Files.newInputStream(path), StandardCharsets.UTF_8))) {
			lines.lines().forEach((line) -> LogLine.read(path.getFileName().toString(), line).ifPresent(all::add));
		}
		catch (IOException ex) {
			throw new WrongUsageException(file + ": can't be read; see its name, permissions and encoding");
		}
	}

}
