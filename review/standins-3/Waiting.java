import java.util.ArrayList;
import java.util.List;

/**
 * Jobs that only one minion may run are handed in while that minion turns every start
 * away; each entry is asked how many jobs of the queue wait.
 */
final class Waiting {

	private static final int WORKERS = 11;

	private static final int JOBS = 6;

	private static final long WORK_MILLIS = 4_000;

	private static final double GREY_SECONDS = 6.4;

	/** visible_ms and two seconds, and a margin for the way of the answer. */
	private static final double COUNTED_AFTER_SECONDS = 5.1;

	private Waiting() {
	}

	public static void main(String[] args) {
		Case.run(args[0], WORKERS, Waiting::holds);
	}

	private static boolean holds(Deployment deployment, Log log, boolean trouble) throws Exception {
		Worker only = deployment.workers.get(WORKERS - 1);
		double begin = log.seconds();
		if (trouble) {
			log.write("minion " + only.id() + " turns starts away for " + GREY_SECONDS + " s");
			only.shed = (task) -> log.seconds() < begin + GREY_SECONDS;
		}
		List<String> accepted = new ArrayList<>();
		for (int number = 0; number < JOBS; number++) {
			String id = Case.jobId(number);
			String body = Case.job(WORK_MILLIS, ",\"requirements\":\"only-" + WORKERS + "\"");
			if (deployment.call(number, "POST", "/a/" + id, body).status() == 200) {
				accepted.add(id);
			}
		}
		double acceptedAt = log.seconds();
		boolean held = true;
		while (log.seconds() < begin + GREY_SECONDS - 0.2) {
			Thread.sleep(300);
			if (log.seconds() >= acceptedAt + COUNTED_AFTER_SECONDS) {
				for (int entry = 0; entry < deployment.entryIps.size(); entry++) {
					held &= isCountTrue(deployment, log, entry, accepted);
				}
			}
		}
		return held;
	}

	private static boolean isCountTrue(Deployment deployment, Log log, int entry, List<String> accepted)
			throws Exception {
		Http.Answer answer = deployment.call(entry, "GET", "/a/", null);
		long notBegun = accepted.stream().filter((id) -> !Case.hasBegun(deployment, id)).count();
		boolean isTrue = answer.status() != 200
				|| 2 * Store.JSON.readTree(answer.body()).path("waiting").asLong() >= notBegun;
		if (!isTrue) {
			log.write("BROKEN: entry-" + (entry + 1) + " says " + answer.body() + "; " + notBegun
					+ " jobs were accepted over 5 s ago and have not begun");
		}
		return isTrue;
	}

}
