import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * The declared run time of a job is far off: its task takes 400 s instead of 12 s. Only one minion has the label
 * that it needs. Checks the rule LOST.
 */
final class LongTask extends Case {

	private static final int MINIONS = 7;

	private static final String PREFIX = "/lohu930/";

	private static final String JOB = "5c0e7a21d94b36f8";

	private static final long DECLARED_MILLIS = 12_000;

	private static final long LONG_MILLIS = 400_000;

	/** `finish_s` of the site. */
	private static final double FINISH_SECONDS = 14;

	/** How long a job may have nothing running after that, although its turn has come and room is free. */
	private static final double IDLE_SECONDS = 3;

	private static final double WATCH_SECONDS = 60;

	public static void main(String[] args) {
		main(new LongTask(), args);
	}

	@Override
	int run(Cluster cluster, boolean trouble) throws Exception {
		Record record = cluster.record;
		cluster.configure(7, List.of(Cluster.route("r-ce7ejsm", PREFIX, 1, 3)));
		for (int number = 0; number < 3; number++) {
			cluster.startEntry(number);
		}
		for (int number = 0; number < MINIONS; number++) {
			cluster.startTarget(number, (number == 0) ? "b" : "a", (task) -> trouble ? LONG_MILLIS : DECLARED_MILLIS);
		}
		Store.pause(8_000);
		Client client = new Client(cluster);
		if (!client.submit(PREFIX, JOB, job())) {
			return result(record, COULD_NOT_RUN, "the job was not accepted");
		}
		double askedAt = record.seconds() + FINISH_SECONDS;
		double idleSince = record.seconds();
		double longestIdle = 0;
		String state = "";
		double nextQuery = askedAt;
		while (!state.equals("completed") && record.seconds() < askedAt + WATCH_SECONDS) {
			Store.pause(20);
			double now = record.seconds();
			if (runs(cluster) > 0 || now < askedAt) {
				idleSince = now;
			}
			longestIdle = Math.max(longestIdle, now - idleSince);
			if (now >= nextQuery) {
				state = client.state(PREFIX, JOB);
				nextQuery = now + 2;
			}
		}
		int runs = record.runs().values().stream().mapToInt(List::size).sum();
		record.line("runs of the only task: " + runs + "; longest time without a run from `finish_s` on: "
				+ Math.round(longestIdle * 10) / 10.0 + " s");
		if (state.equals("completed")) {
			return result(record, HELD, "the job is shown as completed");
		}
		return result(record, (longestIdle > IDLE_SECONDS) ? BROKEN : HELD,
				"accepted job, shown as " + state + ", had nothing running for " + Math.round(longestIdle * 10) / 10.0
						+ " s on an idle minion; its task was started " + runs + " times");
	}

	private static ObjectNode job() {
		ObjectNode job = Json.object().put("spec", "a window preview");
		job.putArray("steps")
			.addObject()
			.put("count", 1)
			.put("cpu", 2_800)
			.put("requested_memory_mb", 15_000)
			.put("gpu", 2)
			.put("requirements", "b")
			.put("estimated_ms", DECLARED_MILLIS);
		return job;
	}

	private static int runs(Cluster cluster) {
		return cluster.minions.values().stream().mapToInt(Minion::runCount).sum();
	}

}
