import java.util.List;

/**
 * One of eight minions is lost for good while the service is full of work of a lower
 * priority. A task that lasts ran there.
 */
final class LastingTask extends Case {

	private static final int MINIONS = 8;

	private static final long CPU = 4_000;

	/** More than the 64 tasks that all minions hold. */
	private static final int FILLING_TASKS = 70;

	private static final long FILLING_MILLIS = 50_000;

	/** How long after its last run a task that lasts may be without one. */
	private static final long RESTART_MILLIS = 6_000;

	/** A span without any disruption, the last 3 s of which count. */
	private static final long CALM_MILLIS = 4_000 + 3_000;

	private static final long CONTACT_TIMEOUT_MILLIS = 3_000;

	public static void main(String[] args) throws Exception {
		run(new LastingTask(), args[0]);
	}

	@Override
	int play() throws Exception {
		start(MINIONS, 0);
		requireState(submit(job(4, CPU, 1_000, "")), "completed", 20_000);
		String lasting = submit(lastingJob());
		awaitRunning(lasting, 5_000);
		String filling = newId();
		Deployment.Answer accepted = this.deployment.call(0, "POST", Deployment.BULK_PREFIX, filling,
				job(FILLING_TASKS, CPU, FILLING_MILLIS, ""));
		if (accepted.status() != 200) {
			throw new IllegalStateException("the filling job was not accepted");
		}
		awaitRunning(filling, 5_000);
		pause(5_000);
		if (this.trouble) {
			this.deployment.minions().stream().filter((minion) -> minion.runs(lasting)).forEach(Minion::crash);
		}
		pause(Math.max(RESTART_MILLIS, CONTACT_TIMEOUT_MILLIS) + CALM_MILLIS - 3_000);
		long notRunning = longestNotRunning(lasting, 20_000);
		this.record.add("from 10 s to 30 s after the loss of its minion, the task that lasts had no run for "
				+ notRunning + " ms on end");
		return (notRunning >= 3_000) ? BROKEN : HELD;
	}

	private static String lastingJob() {
		var step = Json.of("count", 1L, "cpu", CPU, "requested_memory_mb", 256L, "long_running", true, "image", "web");
		return Json.write(Json.of("spec", "work=600000 cpu=" + CPU, "steps", List.of(step)));
	}

	private long longestNotRunning(String job, long watchMillis) {
		long until = this.record.millis() + watchMillis;
		long since = this.record.millis();
		long longest = 0;
		while (this.record.millis() < until) {
			if (this.deployment.minions().stream().anyMatch((minion) -> minion.runs(job))) {
				since = this.record.millis();
			}
			longest = Math.max(longest, this.record.millis() - since);
			pause(20);
		}
		return longest;
	}

}
