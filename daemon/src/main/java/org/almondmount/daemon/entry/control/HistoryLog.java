package org.almondmount.daemon.entry.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.almondmount.daemon.entry.store.Rows.HistoryRow;

/**
 * The last lines of history, oldest first. What operators changed lies in the table too;
 * what the scheduler did is kept here only, as the table could not take that many writes.
 * Not thread-safe.
 */
final class HistoryLog {

	private static final int MOST_LINES = 2_000;

	private final Deque<HistoryRow> lines = new ArrayDeque<>();

	void add(String subject, String what, String by) {
		add(new HistoryRow(System.currentTimeMillis(), subject, what, by));
	}

	void add(HistoryRow line) {
		if (this.lines.size() >= MOST_LINES) {
			this.lines.removeFirst();
		}
		this.lines.addLast(line);
	}

	List<HistoryRow> last(int most) {
		List<HistoryRow> all = new ArrayList<>(this.lines);
		return all.subList(Math.max(0, all.size() - most), all.size());
	}

	List<String> about(String subject) {
		List<String> found = new ArrayList<>();
		for (HistoryRow line : this.lines) {
			if (line.subject().equals(subject)) {
				found.add(line.what());
			}
		}
		return found;
	}

}
