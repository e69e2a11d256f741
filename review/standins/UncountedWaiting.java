import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * The only minion with a label turns unhealthy: it refuses all starts with 503, which means that nothing was
 * done. Jobs that need the label are accepted meanwhile. Checks the rule MIXED: the count of waiting jobs.
 */
final class UncountedWaiting extends Case {

	private static final int MINIONS = 7;

	private static final int JOBS = 4;

	private static final String PREFIX = "/pule252/";

	private static final long WORK_MILLIS = 3_000;

	/** The largest dose on the site is 7.7 s, at a share of 0.15. */
	private static final long UNHEALTHY_MILLIS = 7_500;

	/** `visible_ms` + 2 s: from then on, at least half of the jobs that have not begun have to be counted. */
	private static final long VISIBLE_MILLIS = 5_000;

	public static void main(String[] args) {
		main(new UncountedWaiting(), args);
	}

	@Override
	int run(Cluster cluster, boolean trouble) throws Exception {
		Record record = cluster.record;
		cluster.configure(7, List.of(Cluster.route("r-3ajwyy7", PREFIX, 2, 2)));
		for (int number = 0; number < 3; number++) {
			cluster.startEntry(number);
		}
		for (int number = 0; number < MINIONS; number++) {
			cluster.startTarget(number, (number == 0) ? "b" : "a", (task) -> WORK_MILLIS);
		}
		Store.pause(8_000);
		Minion minion = cluster.minions.values().iterator().next();
		Client client = new Client(cluster);
		if (trouble) {
			minion.unhealthy(true);
		}
		double beginSeconds = record.seconds();
		for (int number = 0; number < JOBS; number++) {
			if (!client.submit(PREFIX, String.format("5c0e7a21d94b%04x", number), job())) {
				return result(record, COULD_NOT_RUN, "a job was not accepted");
			}
		}
		double acceptedSeconds = record.seconds();
		Store.pause(VISIBLE_MILLIS + 200);
		int wrong = 0;
		int asked = 0;
		while (record.seconds() < beginSeconds + UNHEALTHY_MILLIS / 1_000.0 - 0.3) {
			int unbegun = JOBS - record.runs().size();
			Client.Answer answer = client.call("GET", PREFIX, "");
			if (answer.status() == 200) {
				asked++;
				wrong += (Json.parse(answer.body()).path("waiting").asInt() * 2 < unbegun) ? 1 : 0;
			}
			Store.pause(200);
		}
		record.line("jobs that have not begun " + Math.round(record.seconds() - acceptedSeconds)
				+ " s after their confirmation: " + (JOBS - record.runs().size()));
		if (trouble) {
			minion.unhealthy(false);
		}
		Store.pause(12_000);
		record.line("jobs that have begun in the end: " + record.runs().size());
		if (asked == 0) {
			return result(record, COULD_NOT_RUN, "no count was answered");
		}
		return result(record, (wrong > 0) ? BROKEN : HELD,
				wrong + " of " + asked + " counts gave under half of the jobs that had not begun");
	}

	private static ObjectNode job() {
		ObjectNode job = Json.object().put("spec", "a window preview");
		job.putArray("steps")
			.addObject()
			.put("count", 1)
			.put("cpu", 2_800)
			.put("requested_memory_mb", 15_000)
			.put("gpu", 1)
			.put("requirements", "b")
			.put("estimated_ms", WORK_MILLIS);
		return job;
	}

}
