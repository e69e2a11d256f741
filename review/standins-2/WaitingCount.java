/**
 * One of nine minions is unhealthy for seven seconds and answers starts with 503. The jobs
 * that need its label have not begun, so they count as waiting.
 */
final class WaitingCount extends Case {

	private static final int MINIONS = 9;

	private static final int JOBS = 4;

	private static final long UNHEALTHY_MILLIS = 7_000;

	public static void main(String[] args) throws Exception {
		run(new WaitingCount(), args[0]);
	}

	@Override
	int play() throws Exception {
		start(MINIONS, 1);
		requireState(submit(job(4, 4_000, 1_000, "")), "completed", 20_000);
		requireState(submit(job(1, 4_000, 1_000, "b")), "completed", 20_000);
		Minion only = this.deployment.minions().get(MINIONS - 1);
		long began = this.record.millis();
		if (this.trouble) {
			only.unhealthy(true);
		}
		String[] jobs = new String[JOBS];
		for (int i = 0; i < JOBS; i++) {
			jobs[i] = submit(job(1, 4_000, 1_000, "b"));
		}
		// visible_ms and 2 s after the last confirmation.
		pause(5_200);
		boolean broken = false;
		for (int look = 0; look < 4; look++) {
			int begun = 0;
			for (String job : jobs) {
				begun += only.hasStarted(job) ? 1 : 0;
			}
			Deployment.Answer answer = this.deployment.call(look, "GET", "", "");
			long waiting = (answer.status() == 200) ? Json.number(Json.object(answer.body()).get("waiting")) : -1;
			this.record.add("waiting " + waiting + ", accepted and not begun " + (JOBS - begun));
			broken |= waiting >= 0 && 2 * waiting < JOBS - begun;
			pause(200);
		}
		pause(Math.max(0, began + UNHEALTHY_MILLIS - this.record.millis()));
		if (this.trouble) {
			only.unhealthy(false);
		}
		for (String job : jobs) {
			this.record.add("job " + job + " is " + awaitState(job, "completed", 15_000));
		}
		return broken ? BROKEN : HELD;
	}

}
