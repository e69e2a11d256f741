import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The record of a case: what was sent, answered and run, with the time since its start.
 */
final class Record {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void add(String what) {
		this.out.println(String.format("%9.3f s  %s", millis() / 1_000.0, what));
		this.out.flush();
	}

}
