import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * A new desired state replaces a route by one of another name, with the same host, path and service, while an
 * accepted job has its second step before it. Checks the rule LOST.
 */
final class RouteReplaced extends Case {

	private static final String PREFIX = "/pule252/";

	private static final String JOB = "5c0e7a21d94b36f8";

	private static final long WORK_MILLIS = 4_000;

	/** `finish_s` of the site. */
	private static final long FINISH_MILLIS = 14_000;

	/** How long a job may have nothing running after that, although its turn has come and room is free. */
	private static final long IDLE_MILLIS = 3_000;

	public static void main(String[] args) {
		main(new RouteReplaced(), args);
	}

	@Override
	int run(Cluster cluster, boolean trouble) throws Exception {
		Record record = cluster.record;
		cluster.configure(7, List.of(Cluster.route("r-3ajwyy7", PREFIX, 2, 2)));
		for (int number = 0; number < 3; number++) {
			cluster.startEntry(number);
			cluster.startTarget(number, "a", (task) -> WORK_MILLIS);
		}
		Store.pause(6_000);
		Client client = new Client(cluster);
		if (!client.submit(PREFIX, JOB, job())) {
			return result(record, COULD_NOT_RUN, "the job was not accepted");
		}
		while (record.runs().isEmpty() && record.seconds() < 20) {
			Store.pause(50);
		}
		if (record.runs().isEmpty()) {
			return result(record, COULD_NOT_RUN, "the first step did not start");
		}
		if (trouble) {
			cluster.configure(9, List.of(Cluster.route("r-9kd0vwa", PREFIX, 2, 2)));
		}
		Store.pause(FINISH_MILLIS);
		String state = client.state(PREFIX, JOB);
		long idleMillis = 0;
		while (!state.equals("completed") && runs(cluster) == 0 && idleMillis < 3 * IDLE_MILLIS) {
			Store.pause(500);
			idleMillis += 500;
			state = client.state(PREFIX, JOB);
		}
		record.line("runs of the job: " + record.runs().keySet());
		if (idleMillis > IDLE_MILLIS && !state.equals("completed")) {
			return result(record, BROKEN, "accepted job, shown as " + state + ", has had nothing running for "
					+ idleMillis + " ms, with all minions idle");
		}
		return result(record, state.equals("completed") ? HELD : COULD_NOT_RUN, "the job is shown as " + state);
	}

	private static ObjectNode job() {
		ObjectNode job = Json.object().put("spec", "cut sheets of one window");
		ArrayNode steps = job.putArray("steps");
		step(steps, 1);
		step(steps, 2).putArray("after").add(0);
		return job;
	}

	private static ObjectNode step(ArrayNode steps, int count) {
		return steps.addObject()
			.put("count", count)
			.put("cpu", 2_800)
			.put("requested_memory_mb", 15_000)
			.put("gpu", 1)
			.put("estimated_ms", WORK_MILLIS);
	}

	private static int runs(Cluster cluster) {
		return cluster.minions.values().stream().mapToInt(Minion::runCount).sum();
	}

}
