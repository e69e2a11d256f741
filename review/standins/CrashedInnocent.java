import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * A minion goes down and up by turns, three times, as a minion with a failing power supply does. A job that
 * needs this minion's label would succeed on it as soon as it stays up. Checks the rule LOST.
 */
final class CrashedInnocent extends Case {

	private static final int MINIONS = 9;

	private static final String PREFIX = "/pule252/";

	private static final String JOB = "5c0e7a21d94b36f8";

	private static final long WORK_MILLIS = 4_000;

	/** The pause between down and up; the largest dose is 1.4 s. */
	private static final long GAP_MILLIS = 1_400;

	/** The largest dose is 6.7 s, at a share of 0.12. */
	private static final int CRASHES = 3;

	public static void main(String[] args) {
		main(new CrashedInnocent(), args);
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
		if (!client.submit(PREFIX, JOB, job())) {
			return result(record, COULD_NOT_RUN, "the job was not accepted");
		}
		while (record.runs().isEmpty() && record.seconds() < 30) {
			Store.pause(20);
		}
		if (record.runs().isEmpty()) {
			return result(record, COULD_NOT_RUN, "the job did not start");
		}
		Store.pause(1_200);
		for (int crash = 0; trouble && crash < CRASHES; crash++) {
			minion.crash();
			Store.pause(GAP_MILLIS);
			minion.start();
			Store.pause((crash + 1 < CRASHES) ? GAP_MILLIS : 0);
		}
		String state = "";
		while (!state.equals("completed") && !state.equals("failed") && record.seconds() < 60) {
			Store.pause(1_000);
			state = client.state(PREFIX, JOB);
		}
		long failedEnds = record.runs()
			.values()
			.stream()
			.flatMap(List::stream)
			.filter((run) -> run.how.equals("failed"))
			.count();
		if (state.equals("failed") && failedEnds == 0) {
			return result(record, BROKEN, "accepted job is shown as failed, and no run of it has ended failed");
		}
		return result(record, state.equals("completed") ? HELD : COULD_NOT_RUN, "the job is shown as " + state);
	}

	private static ObjectNode job() {
		ObjectNode job = Json.object().put("spec", "a window preview");
		job.putArray("steps")
			.addObject()
			.put("count", 1)
			.put("cpu", 13_000)
			.put("requested_memory_mb", 68_000)
			.put("gpu", 8)
			.put("requirements", "b")
			.put("estimated_ms", WORK_MILLIS);
		return job;
	}

}
