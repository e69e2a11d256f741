import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The store is down for four seconds while many small tasks end. The ends can't be recorded meanwhile, so that
 * more than 500 of them wait at each minion, which lists 500 at a time. Checks the rule TWICE.
 */
final class TruncatedEnds extends Case {

	private static final int MINIONS = 3;

	private static final int JOBS = 15;

	private static final int TASKS_PER_JOB = 200;

	private static final int TASKS = JOBS * TASKS_PER_JOB;

	private static final long WORK_MILLIS = 15_000;

	private static final long PAUSE_BETWEEN_JOBS_MILLIS = 150;

	private static final String PREFIX = "/pule252/";

	/** The largest dose for the whole store on the site is 4.2 s. */
	private static final long OUTAGE_MILLIS = 4_000;

	private static final double END_SECONDS = 90;

	public static void main(String[] args) {
		main(new TruncatedEnds(), args);
	}

	@Override
	int run(Cluster cluster, boolean trouble) throws Exception {
		Record record = cluster.record;
		cluster.configure(7, List.of(Cluster.route("r-batch", PREFIX, 2, 2)));
		for (int number = 0; number < 3; number++) {
			cluster.startEntry(number);
		}
		for (int number = 0; number < MINIONS; number++) {
			cluster.startTarget(number, "a", (task) -> WORK_MILLIS);
		}
		Store.pause(6_000);
		Client client = new Client(cluster);
		List<String> jobs = new ArrayList<>();
		for (int number = 0; number < JOBS; number++) {
			jobs.add(String.format("5c0e7a21d94b%04x", number));
			if (!client.submit(PREFIX, jobs.get(number), job())) {
				return result(record, COULD_NOT_RUN, "a job was not accepted");
			}
			Store.pause(PAUSE_BETWEEN_JOBS_MILLIS);
		}
		while (runs(cluster) < TASKS && record.seconds() < 30) {
			Store.pause(10);
		}
		if (runs(cluster) < TASKS) {
			return result(record, COULD_NOT_RUN, "only " + runs(cluster) + " tasks run at the same time");
		}
		record.line("all " + TASKS + " tasks run");
		while (runs(cluster) == TASKS) {
			Store.pause(2);
		}
		if (trouble) {
			record.line("the store is down: it closes each channel without an answer");
			cluster.store.down(true);
			Store.pause(OUTAGE_MILLIS);
			cluster.store.down(false);
			record.line("the store is up again");
		}
		String open = jobs.get(0);
		while (!open.isEmpty() && record.seconds() < END_SECONDS) {
			Store.pause(1_000);
			open = "";
			for (String job : jobs) {
				open = client.state(PREFIX, job).equals("completed") ? open : job;
			}
		}
		Store.pause(2_000);
		record.line(open.isEmpty() ? "all jobs are completed" : "not completed: " + open);
		return judge(record);
	}

	private static ObjectNode job() {
		ObjectNode job = Json.object().put("spec", "cut sheets of one window");
		job.putArray("steps")
			.addObject()
			.put("count", TASKS_PER_JOB)
			.put("cpu", 32)
			.put("requested_memory_mb", 120)
			.put("estimated_ms", WORK_MILLIS);
		return job;
	}

	private static int runs(Cluster cluster) {
		return cluster.minions.values().stream().mapToInt(Minion::runCount).sum();
	}

	// TWICE: a start after a run of the task has ended `done`, if that end is taken note of then or later.
	private static int judge(Record record) {
		int twice = 0;
		for (Map.Entry<String, List<Record.TaskRun>> task : record.runs().entrySet()) {
			boolean again = false;
			for (Record.TaskRun first : task.getValue()) {
				for (Record.TaskRun second : task.getValue()) {
					again |= first.isDoneAndNoted() && second.startedAt > first.endedAt;
				}
			}
			twice += again ? 1 : 0;
		}
		String text = twice + " of " + TASKS + " tasks were started again after an end `done` that was taken note of";
		return result(record, (twice > 0) ? BROKEN : HELD, text);
	}

}
