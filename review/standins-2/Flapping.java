/**
 * One of ten minions goes down and up by turns for six seconds. It is the only one with the
 * label that a task needs. No run of the task ends failed.
 */
final class Flapping extends Case {

	private static final int MINIONS = 10;

	/** Half of the period of 1.4 s. */
	private static final long HALF_PERIOD_MILLIS = 700;

	private static final long FLAPPING_MILLIS = 6_500;

	public static void main(String[] args) throws Exception {
		run(new Flapping(), args[0]);
	}

	@Override
	int play() throws Exception {
		start(MINIONS, 1);
		requireState(submit(job(4, 4_000, 1_000, "")), "completed", 20_000);
		requireState(submit(job(1, 4_000, 1_000, "b")), "completed", 20_000);
		Minion only = this.deployment.minions().get(MINIONS - 1);
		String job = submit(job(1, 4_000, 10_000, "b"));
		long until = this.record.millis() + FLAPPING_MILLIS;
		while (this.trouble && this.record.millis() + 2 * HALF_PERIOD_MILLIS <= until + HALF_PERIOD_MILLIS) {
			pause(HALF_PERIOD_MILLIS);
			only.crash();
			pause(HALF_PERIOD_MILLIS);
			only.start();
		}
		String state = awaitState(job, "completed", 40_000);
		this.record.add("the job, of which no run ended failed, is shown as " + state);
		return state.equals("failed") ? BROKEN : HELD;
	}

}
