import java.nio.file.Path;

/** What the cases share: the command line, the exit status, and the last line of the record. */
abstract class Case {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int COULD_NOT_RUN = 2;

	/**
	 * Runs the case in a new deployment.
	 * @param cluster the deployment, of which nothing is started yet
	 * @param trouble whether the disruption takes place
	 * @return the exit status
	 */
	abstract int run(Cluster cluster, boolean trouble) throws Exception;

	static void main(Case reviewCase, String[] args) {
		int status = COULD_NOT_RUN;
		try (Record record = new Record(Path.of(args[1])); Cluster cluster = new Cluster(Path.of(args[0]), record)) {
			status = reviewCase.run(cluster, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			System.out.println("the case could not run: " + ex);
		}
		System.exit(status);
	}

	static int result(Record record, int status, String text) {
		record.line("result " + status + ": " + text);
		System.out.println("result " + status + ": " + text);
		return status;
	}

}
