package org.almondmount.daemon.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the logs of an installation tell of one job. Immutable.
 * <p>
 * Lines that name the job are taken, and between the first and the last of them those of
 * what the job depended on: who decided, and what was lost or regained.
 *
 * @param lines the lines in the order of their times
 * @param findings what follows from them, one sentence each
 */
record JobTrace(List<LogLine> lines, List<String> findings) {

	/** Events that bear on every job. */
	private static final Set<String> SURROUNDINGS = Set.of("term-began", "term-ended", "term-released",
			"dependency-lost", "dependency-regained", "worker-lapsed", "worker-reborn", "worker-draining",
			"entry-started", "target-started", "drain-begun");

	/** A wait below this is the way of the order itself, in milliseconds. */
	private static final long NO_WAIT_MILLIS = 500;

	JobTrace {
		lines = List.copyOf(lines);
		findings = List.copyOf(findings);
	}

	/**
	 * Follows a job.
	 * @param job its identifier
	 * @param all the lines of all logs, in any order
	 * @return its trace, empty where no line names it
	 */
	static JobTrace of(String job, List<LogLine> all) {
		List<LogLine> own = all.stream().filter((line) -> line.names(job)).toList();
		if (own.isEmpty()) {
			return new JobTrace(List.of(), List.of());
		}
		long first = own.stream().mapToLong(LogLine::millis).min().orElseThrow();
		long last = own.stream().mapToLong(LogLine::millis).max().orElseThrow();
		List<LogLine> lines = new ArrayList<>(own);
		for (LogLine line : all) {
			boolean during = line.millis() >= first && line.millis() <= last;
			if (during && SURROUNDINGS.contains(line.event()) && !line.names(job)) {
				lines.add(line);
			}
		}
		lines.sort(Comparator.comparingLong(LogLine::millis));
		return new JobTrace(lines, findings(job, lines));
	}

	private static List<String> findings(String job, List<LogLine> lines) {
		List<String> findings = new ArrayList<>();
		handedIn(lines).ifPresent(findings::add);
		waited(lines).ifPresent(findings::add);
		findings.addAll(endings(job, lines));
		findings.addAll(work(job, lines));
		findings.addAll(lost(lines));
		findings.addAll(orders(lines));
		findings.addAll(crashes(job, lines));
		findings.add(ended(lines));
		return findings;
	}

	private static Optional<String> handedIn(List<LogLine> lines) {
		Optional<LogLine> accepted = first(lines, "job-accepted");
		if (accepted.isPresent()) {
			return Optional.empty();
		}
		return first(lines, "job-not-accepted")
			.map((line) -> "It was never accepted: " + line.value("outcome") + ", because " + line.value("why") + ".");
	}

	private static Optional<String> waited(List<LogLine> lines) {
		Optional<LogLine> known = first(lines, "job-known");
		Optional<LogLine> chosen = first(lines, "run-chosen");
		if (known.isEmpty() || chosen.isEmpty()) {
			return Optional.empty();
		}
		long millis = chosen.get().millis() - known.get().millis();
		return (millis > NO_WAIT_MILLIS) ? Optional.of("It waited " + millis + " ms for room.") : Optional.empty();
	}

	private static List<String> endings(String job, List<LogLine> lines) {
		Map<String, Integer> counts = new TreeMap<>();
		for (LogLine line : lines) {
			if (line.event().equals("run-ended") && line.names(job) && !line.value("how").equals("DONE")) {
				counts.merge(line.value("how") + " on " + line.value("worker"), 1, Integer::sum);
			}
		}
		List<String> endings = new ArrayList<>();
		counts.forEach((how, count) -> endings.add(count + ((count == 1) ? " run" : " runs") + " ended " + how + "."));
		return endings;
	}

	private static List<String> work(String job, List<LogLine> lines) {
		long kept = 0;
		Map<String, Long> lost = new TreeMap<>();
		for (LogLine line : lines) {
			if (!line.event().equals("run-ended") || !line.names(job)) {
				continue;
			}
			kept += coreSeconds(line, "keptCoreSeconds");
			lost.merge(line.value("cause"), coreSeconds(line, "lostCoreSeconds"), Long::sum);
			lost.merge("GANG_WAITED", coreSeconds(line, "waitedCoreSeconds"), Long::sum);
		}
		lost.values().removeIf((amount) -> amount == 0);
		if (lost.isEmpty()) {
			return List.of();
		}
		List<String> findings = new ArrayList<>();
		findings.add("Of its work " + kept + " core-seconds were kept.");
		lost.forEach((cause, amount) -> findings.add(amount + " core-seconds were lost as " + cause + "."));
		return findings;
	}

	// Lines of earlier versions do not say it.
	private static long coreSeconds(LogLine line, String key) {
		String value = line.value(key);
		return value.isEmpty() ? 0 : Long.parseLong(value);
	}

	private static List<String> lost(List<LogLine> lines) {
		List<String> lost = new ArrayList<>();
		for (LogLine line : lines) {
			if (line.event().equals("dependency-lost") || line.event().equals("term-ended")) {
				lost.add("Meanwhile " + line.event() + " " + line.value("what") + ": " + line.value("why") + ".");
			}
		}
		return lost.stream().distinct().toList();
	}

	private static List<String> orders(List<LogLine> lines) {
		Map<String, Integer> counts = new TreeMap<>();
		for (LogLine line : lines) {
			if (line.event().equals("order-undelivered") || line.event().equals("order-ignored")) {
				counts.merge(line.value("order") + " " + line.event() + " (" + line.value("why") + ")", 1,
						Integer::sum);
			}
		}
		List<String> orders = new ArrayList<>();
		counts.forEach((order, count) -> orders.add("Seen " + order + ": " + count + "."));
		return orders;
	}

	private static List<String> crashes(String job, List<LogLine> lines) {
		List<String> crashes = new ArrayList<>();
		for (LogLine line : lines) {
			if (line.event().equals("worker-crashed-under") && line.names(job)) {
				crashes.add("Worker " + line.value("life") + " crashed under " + line.value("task") + " run "
						+ line.value("run") + ", " + line.value("ageMillis") + " ms after its start.");
			}
		}
		return crashes;
	}

	private static String ended(List<LogLine> lines) {
		for (String event : List.of("job-completed", "job-failed", "job-cancelled")) {
			Optional<LogLine> end = first(lines, event);
			if (end.isPresent()) {
				return "It ended as " + event + " after " + (end.get().millis() - lines.get(0).millis()) + " ms.";
			}
		}
		return "No line says that it ended.";
	}

	private static Optional<LogLine> first(List<LogLine> lines, String event) {
		return lines.stream().filter((line) -> line.event().equals(event)).findFirst();
	}

}
