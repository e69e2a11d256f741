import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a script: what was sent, answered and run. */
final class Log {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Log(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void write(String line) {
		this.out.printf("%8.3f %s%n", seconds(), line);
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

}
