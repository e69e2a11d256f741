import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * Two racks hold a service each, which lasts. A minion of the third rack is lost for good, and the fourth rack
 * is too small. Then a gang comes that takes longer on more than one rack. Checks the rule LOST.
 */
final class WaitingGang extends Case {

	/** As on the site: 11 minions, 3 a rack. */
	private static final int MINIONS = 11;

	private static final int LOST_MINION = 8;

	private static final int GANG_SIZE = 3;

	private static final String PREFIX = "/lohu930/";

	private static final String GANG = "5c0e7a21d94b36f8";

	private static final List<String> SERVICES = List.of("5c0e7a21d94b0001", "5c0e7a21d94b0002");

	private static final long WORK_MILLIS = 4_000;

	/** `finish_s` of the site. */
	private static final long FINISH_MILLIS = 14_000;

	/** How long a job may have nothing running after that, although its turn has come and room is free. */
	private static final long IDLE_MILLIS = 3_000;

	public static void main(String[] args) {
		main(new WaitingGang(), args);
	}

	@Override
	int run(Cluster cluster, boolean trouble) throws Exception {
		Record record = cluster.record;
		cluster.gangs.define(GANG, GANG_SIZE);
		cluster.configure(7, List.of(Cluster.route("r-ce7ejsm", PREFIX, 1, 3)));
		for (int number = 0; number < 3; number++) {
			cluster.startEntry(number);
		}
		for (int number = 0; number < MINIONS; number++) {
			cluster.startTarget(number, "a", (task) -> task.startsWith(GANG) ? WORK_MILLIS : Minion.LASTS);
		}
		Store.pause(9_000);
		Client client = new Client(cluster);
		boolean accepted = client.submit(PREFIX, SERVICES.get(0), service("r1-1"))
				&& client.submit(PREFIX, SERVICES.get(1), service("r1-2"));
		while (runs(cluster) < SERVICES.size() && record.seconds() < 30) {
			Store.pause(50);
		}
		if (!accepted || runs(cluster) < SERVICES.size()) {
			return result(record, COULD_NOT_RUN, "the services do not run");
		}
		Store.pause(1_000);
		if (trouble) {
			Minion lost = List.copyOf(cluster.minions.values()).get(LOST_MINION);
			lost.crash();
		}
		Store.pause(4_000);
		if (!client.submit(PREFIX, GANG, gang())) {
			return result(record, COULD_NOT_RUN, "the gang was not accepted");
		}
		Store.pause(FINISH_MILLIS);
		String state = client.state(PREFIX, GANG);
		long idleMillis = 0;
		while (!state.equals("completed") && runs(cluster) == SERVICES.size() && idleMillis < 5 * IDLE_MILLIS) {
			Store.pause(500);
			idleMillis += 500;
			state = client.state(PREFIX, GANG);
		}
		long idleMinions = cluster.minions.values().stream().filter((m) -> m.isUp() && m.runCount() == 0).count();
		record.line("minions that are up and run nothing: " + idleMinions + "; the gang takes " + GANG_SIZE);
		boolean roomTwiceOver = idleMinions >= 2 * GANG_SIZE;
		if (idleMillis > IDLE_MILLIS && roomTwiceOver && !state.equals("completed")) {
			return result(record, BROKEN, "accepted job, shown as " + state + ", has had nothing running for "
					+ (FINISH_MILLIS + idleMillis) + " ms, with " + idleMinions + " minions idle");
		}
		return result(record, state.equals("completed") ? HELD : COULD_NOT_RUN, "the gang is shown as " + state);
	}

	private static ObjectNode service(String dataRack) {
		ObjectNode job = Json.object().put("spec", "a sketch desk");
		job.putArray("steps")
			.addObject()
			.put("count", 1)
			.put("cpu", 2_800)
			.put("requested_memory_mb", 15_000)
			.put("gpu", 1)
			.put("data_rack", dataRack)
			.put("long_running", true)
			.put("image", "desk");
		return job;
	}

	private static ObjectNode gang() {
		ObjectNode job = Json.object().put("spec", "a window preview");
		job.putArray("steps")
			.addObject()
			.put("count", GANG_SIZE)
			.put("cpu", 13_000)
			.put("requested_memory_mb", 68_000)
			.put("gpu", 8)
			.put("estimated_ms", WORK_MILLIS)
			.put("gang_scheduled", true)
			.put("same_rack", true);
		return job;
	}

	private static int runs(Cluster cluster) {
		return cluster.minions.values().stream().mapToInt(Minion::runCount).sum();
	}

}
