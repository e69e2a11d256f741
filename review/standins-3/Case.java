import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.file.Path;

/** What the scripts share: a deployment, its record and the exit status. */
final class Case {

	private static final int HELD = 0;

	private static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	private Case() {
	}

	/**
	 * Plays a case and exits with its status.
	 * @param folder the folder that gets the record
	 * @param workers the number of minions
	 * @param play plays the case and returns whether the rule held
	 */
	static void run(String folder, int workers, Play play) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		System.setProperty("sun.net.httpserver.nodelay", "true");
		Log log = new Log(Path.of(folder, "record.txt"));
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = NOT_RUN;
		ArrayNode routes = Store.JSON.createArrayNode().add(Deployment.route("r-a", "/a/", 1, 3, 3.0, 3_000));
		try (Deployment deployment = new Deployment(log, 3, workers, routes)) {
			if (deployment.awaitReady()) {
				status = play.holds(deployment, log, trouble) ? HELD : BROKEN;
			}
		}
		catch (Exception ex) {
			log.write("the case could not run: " + ex);
			status = NOT_RUN;
		}
		log.write("exit status " + status);
		System.exit(status);
	}

	static String jobId(int number) {
		return String.format("%016x", 0x5c0e7a2100000000L + number);
	}

	static String job(long workMillis, String more) {
		return "{\"spec\":\"work=" + workMillis + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"requested_memory_mb\":1000,"
				+ "\"gpu\":1,\"estimated_ms\":" + workMillis + more + "}]}";
	}

	static boolean hasBegun(Deployment deployment, String job) {
		return deployment.workers.stream().anyMatch((worker) -> worker.begun().contains(job));
	}

	interface Play {

		boolean holds(Deployment deployment, Log log, boolean trouble) throws Exception;

	}

}
