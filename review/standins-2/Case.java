import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/**
 * What the cases share: the exit status, the time limit, jobs and the check whether a job
 * has nothing running.
 */
abstract class Case {

	private static final long LIMIT_MILLIS = 114_000;

	static final int HELD = 0;

	static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	private static final List<String> ENDED = List.of("completed", "failed", "cancelled");

	/** Whether the disruption takes place. */
	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	Record record;

	Deployment deployment;

	private final Random random = new Random();

	/** Plays the case and returns {@link #HELD} or {@link #BROKEN}. */
	abstract int play() throws Exception;

	/** The site whose bounds the settings name. */
	abstract Deployment.Site site();

	static void run(Case played, String recordFile) throws Exception {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		played.record = new Record(Path.of(recordFile));
		Thread watchdog = new Thread(() -> {
			pause(LIMIT_MILLIS);
			played.record.add("the case takes too long: could not run");
			Runtime.getRuntime().exit(NOT_RUN);
		});
		watchdog.setDaemon(true);
		watchdog.start();
		int status = NOT_RUN;
		try {
			played.deployment = new Deployment(played.record, played.site());
			status = played.play();
			played.record.add((status == BROKEN) ? "RESULT: the rule was broken" : "RESULT: the rule held");
		}
		catch (Exception ex) {
			played.record.add("could not run: " + ex);
			ex.printStackTrace();
		}
		System.exit(status);
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	String newId() {
		return String.format("%016x", this.random.nextLong());
	}

	/** A job of one step. */
	static String job(int count, long cpu, long workMillis, String requirements) {
		var step = Json.of("count", (long) count, "cpu", cpu, "requested_memory_mb", 256L, "estimated_ms", workMillis);
		if (!requirements.isEmpty()) {
			step.put("requirements", requirements);
		}
		return Json.write(Json.of("spec", "work=" + workMillis + " cpu=" + cpu, "steps", List.of(step)));
	}

	/** Submits a job and fails the case if it isn't accepted. */
	String submit(String body) throws InterruptedException {
		return submit(Deployment.PREFIX, body);
	}

	/** Submits a job to a queue and fails the case if it isn't accepted. */
	String submit(String prefix, String body) throws InterruptedException {
		String id = newId();
		Deployment.Answer answer = this.deployment.call("POST", prefix, id, body);
		if (answer.status() / 100 != 2) {
			throw new IllegalStateException("a job was not accepted: " + answer.status());
		}
		return id;
	}

	/** Waits until a job is shown in a state, or as ended, and returns the last state. */
	String awaitState(String id, String state, long millis) throws InterruptedException {
		long until = this.record.millis() + millis;
		String seen = "";
		while (this.record.millis() < until) {
			seen = this.deployment.call("GET", id, "").state();
			if (seen.equals(state) || ENDED.contains(seen)) {
				return seen;
			}
			Thread.sleep(500);
		}
		return seen;
	}

	void requireState(String id, String state, long millis) throws InterruptedException {
		String seen = awaitState(id, state, millis);
		if (!seen.equals(state)) {
			throw new IllegalStateException("a job is " + seen + " before the disruption");
		}
	}

	/**
	 * Watches a job that has to run.
	 * @return for how long on end, in milliseconds, it had nothing running while less than
	 * half of the service's capacity was in use
	 */
	long longestIdle(String id, long watchMillis) {
		long until = this.record.millis() + watchMillis;
		long idleSince = this.record.millis();
		long longest = 0;
		while (this.record.millis() < until) {
			boolean runs = false;
			long used = 0;
			for (Minion minion : this.deployment.minions()) {
				runs |= minion.runs(id);
				used += minion.usedCpu();
			}
			boolean idle = !runs && 2 * used < this.deployment.minions().size() * Minion.CPU;
			if (!idle) {
				idleSince = this.record.millis();
			}
			longest = Math.max(longest, this.record.millis() - idleSince);
			pause(20);
		}
		this.record.add("job " + id + " had nothing running for " + longest + " ms on end");
		return longest;
	}

	/** Waits until a job runs on a minion. */
	void awaitRunning(String job, long millis) {
		long until = this.record.millis() + millis;
		while (this.deployment.minions().stream().noneMatch((minion) -> minion.runs(job))) {
			if (this.record.millis() > until) {
				throw new IllegalStateException("a job doesn't run in time");
			}
			pause(20);
		}
	}

	/**
	 * Two entries, and machines with minions in two zones.
	 * @param minions the number of minions
	 * @param others how many of them, the last ones, are of the kind "b" instead of "a"
	 */
	void start(int minions, int others) throws Exception {
		this.deployment.addFront("front-a-1", "zone-a");
		this.deployment.addFront("front-b-1", "zone-b");
		for (int i = 1; i <= minions; i++) {
			this.deployment.addSide("side-" + i, (i % 2 == 1) ? "zone-a" : "zone-b",
					List.of((i > minions - others) ? "b" : "a", "r1-" + (1 + (i - 1) / 3)));
		}
		this.deployment.start();
	}

}
