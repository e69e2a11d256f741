import java.util.List;

/**
 * One of ten minions goes down and up by turns for six seconds. It is the only one with the
 * label that a task needs, which lasts. No run of the task ends failed.
 */
final class Flapping extends Case {

	private static final int MINIONS = 10;

	private static final long UP_MILLIS = 900;

	private static final long DOWN_MILLIS = 500;

	private static final int TURNS = 4;

	public static void main(String[] args) throws Exception {
		run(new Flapping(), args[0]);
	}

	@Override
	int play() throws Exception {
		start(MINIONS, 1);
		requireState(submit(job(4, 4_000, 1_000, "")), "completed", 20_000);
		requireState(submit(job(1, 4_000, 1_000, "b")), "completed", 20_000);
		Minion only = this.deployment.minions().get(MINIONS - 1);
		var step = Json.of("count", 1L, "cpu", 4_000L, "requested_memory_mb", 256L, "requirements", "b", "long_running",
				true, "image", "web");
		String job = submit(Json.write(Json.of("spec", "work=600000 cpu=4000", "steps", List.of(step))));
		for (int turn = 0; this.trouble && turn < TURNS; turn++) {
			pause(UP_MILLIS);
			only.crash();
			pause(DOWN_MILLIS);
			only.start();
		}
		// Longer than recovery_s.
		String state = awaitState(job, "failed", 15_000);
		this.record.add("the job, of which no run ended failed, is shown as " + state);
		return state.equals("failed") ? BROKEN : HELD;
	}

}
