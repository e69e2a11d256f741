import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes what was sent, answered and run to a file, and keeps the runs of all tasks for the check of a rule.
 */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	private final Map<String, List<TaskRun>> runs = new LinkedHashMap<>();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void line(String text) {
		this.out.printf("%8.3f %s%n", seconds(), text);
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void started(String minion, String task, int run, long fence, String spec) {
		this.runs.computeIfAbsent(task, (key) -> new ArrayList<>()).add(new TaskRun(minion, run, seconds(), spec));
		line("start   " + task + " run " + run + " on " + minion + " fence " + fence);
	}

	synchronized void ended(String minion, String task, int run, String how) {
		find(task, run).ended(how, seconds());
		line("end     " + task + " run " + run + " on " + minion + " " + how);
	}

	synchronized void crashed(String task, int run) {
		find(task, run).ended("crashed", seconds());
		line("crashed " + task + " run " + run);
	}

	synchronized void noted(String task, int run, boolean lapsedBefore) {
		find(task, run).noted(seconds(), lapsedBefore);
		line("noted   " + task + " run " + run + (lapsedBefore ? " after the lease lapsed" : ""));
	}

	synchronized Map<String, List<TaskRun>> runs() {
		Map<String, List<TaskRun>> copy = new LinkedHashMap<>();
		this.runs.forEach((task, list) -> copy.put(task, List.copyOf(list)));
		return copy;
	}

	private TaskRun find(String task, int number) {
		List<TaskRun> all = this.runs.get(task);
		for (int i = all.size() - 1; i >= 0; i--) {
			if (all.get(i).number == number) {
				return all.get(i);
			}
		}
		throw new IllegalStateException(task + " has no run " + number);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

	/** One run of a task on a minion. Times are seconds since the start of the case. */
	static final class TaskRun {

		final String minion;

		final int number;

		final double startedAt;

		final String spec;

		volatile String how = "";

		volatile double endedAt = Double.MAX_VALUE;

		/** When the end was taken note of; never while the lease had lapsed in between. */
		volatile double notedAt = Double.MAX_VALUE;

		TaskRun(String minion, int number, double startedAt, String spec) {
			this.minion = minion;
			this.number = number;
			this.startedAt = startedAt;
			this.spec = spec;
		}

		private void ended(String outcome, double at) {
			this.how = outcome;
			this.endedAt = at;
		}

		private void noted(double at, boolean lapsedBefore) {
			if (!lapsedBefore) {
				this.notedAt = Math.min(this.notedAt, at);
			}
		}

		boolean isDoneAndNoted() {
			return this.how.equals("done") && this.notedAt < Double.MAX_VALUE;
		}

	}

}
