import java.net.http.HttpClient;

/**
 * A liveness report of another writer, for a service that no desired state names, arrives
 * once at each machine with a minion.
 */
final class JunkReport extends Case {

	public static void main(String[] args) throws Exception {
		run(new JunkReport(), args[0]);
	}

	@Override
	Deployment.Site site() {
		return Deployment.Site.HDSAM_SCHED;
	}

	@Override
	int play() throws Exception {
		start(4, 0);
		requireState(submit(job(8, 4_000, 1_500, "")), "completed", 15_000);
		if (this.trouble) {
			HttpClient client = HttpClient.newHttpClient();
			for (Minion minion : this.deployment.minions()) {
				String body = Json.write(minion.describe("svc-not-named", System.currentTimeMillis(), 1));
				int status = Minion.post(client, minion.controlPlane(), "i-0ther" + newId().substring(0, 4), body);
				this.record.add("another writer's liveness report to " + minion.machine() + " " + body + " -> " + status);
			}
		}
		// Longer than the longest lease and than contact_timeout_ms.
		pause(15_000);
		String job = submit(job(4, 4_000, 2_000, ""));
		// 4 s of calm before finish_s after the last request, and the 3 s after it.
		pause(14_000 - 4_000);
		long idle = longestIdle(job, 4_000 + 3_000 + 500);
		String state = awaitState(job, "completed", 20_000);
		this.record.add("17.5 s and more after its confirmation the job is " + state);
		return (idle >= 7_000 && !state.equals("completed")) ? BROKEN : HELD;
	}

}
