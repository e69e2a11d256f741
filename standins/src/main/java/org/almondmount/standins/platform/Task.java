package org.almondmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One task on a worker. Not thread-safe.
 */
final class Task {

	static final String RUNNING = "running";

	private static final long USAGE_LAG_MILLIS = 500;

	private static final double THROTTLED_SPEED = 0.5;

	private final String job;

	private final int attempt;

	private final int member;

	private final int accelerators;

	private final int cores;

	private final int memoryMb;

	private final long checkpointEveryMillis;

	private final Program program;

	private final long startedMillis;

	private String state = RUNNING;

	private boolean loaded;

	private boolean throttled;

	private boolean suspending;

	private boolean saving;

	private double doneMillis;

	private double savedMillis;

	private int checkpoints;

	private long leaseUntilMillis;

	Task(JsonNode order, long nowMillis) {
		this.job = order.path("job").asText();
		this.attempt = order.path("attempt").asInt();
		this.member = order.path("member").asInt();
		this.accelerators = order.path("accelerators").asInt();
		this.cores = order.path("cores").asInt();
		this.memoryMb = order.path("memoryMb").asInt();
		this.checkpointEveryMillis = order.path("checkpointEveryMillis").asLong();
		this.program = Program.parse(order.path("program").asText());
		this.startedMillis = nowMillis;
		this.leaseUntilMillis = nowMillis + order.path("leaseMillis").asLong();
	}

	static String key(String job, int attempt, int member) {
		return job + "/" + attempt + "/" + member;
	}

	String key() {
		return key(this.job, this.attempt, this.member);
	}

	String checkpointName() {
		return "checkpoints/" + this.job + "/" + this.member;
	}

	boolean isRunning() {
		return this.state.equals(RUNNING);
	}

	int accelerators() {
		return this.accelerators;
	}

	int cores() {
		return this.cores;
	}

	int memoryMb() {
		return this.memoryMb;
	}

	void renew(long untilMillis) {
		this.leaseUntilMillis = untilMillis;
	}

	boolean leaseLapsed(long nowMillis) {
		return nowMillis >= this.leaseUntilMillis;
	}

	void load(double checkpointMillis) {
		this.loaded = true;
		this.doneMillis = checkpointMillis;
		this.savedMillis = checkpointMillis;
	}

	void throttle() {
		this.throttled = true;
	}

	void suspend() {
		if (!this.program.ignoresCheckpoints()) {
			this.suspending = true;
		}
	}

	boolean isSuspending() {
		return this.suspending;
	}

	void work(long millis) {
		if (this.loaded && !this.suspending) {
			this.doneMillis += this.throttled ? millis * THROTTLED_SPEED : millis;
		}
	}

	boolean isDone() {
		return this.doneMillis >= this.program.workMillis();
	}

	String endOfProgram() {
		return this.program.fails() ? "failed" : "succeeded";
	}

	boolean wantsCheckpoint() {
		if (!this.loaded || this.saving) {
			return false;
		}
		boolean due = this.checkpointEveryMillis > 0
				&& this.doneMillis - this.savedMillis >= this.checkpointEveryMillis;
		return this.suspending || due;
	}

	double beginCheckpoint() {
		this.saving = true;
		return this.doneMillis;
	}

	void endCheckpoint(double saved, boolean written) {
		this.saving = false;
		if (written) {
			this.savedMillis = saved;
			this.checkpoints++;
		}
	}

	void end(String ending) {
		this.state = ending;
	}

	String state() {
		return this.state;
	}

	ObjectNode identify(ObjectNode event) {
		return event.put("job", this.job).put("attempt", this.attempt).put("member", this.member);
	}

	ObjectNode report(long nowMillis) {
		ObjectNode report = identify(Documents.object());
		report.put("state", this.state).put("checkpoints", this.checkpoints).put("doneMillis", (long) this.doneMillis);
		boolean known = isRunning() && nowMillis - this.startedMillis >= USAGE_LAG_MILLIS;
		double usage = known ? (this.throttled ? Math.min(1, this.program.usage()) : this.program.usage()) : 0;
		ObjectNode used = report.putObject("used");
		used.put("accelerators", known ? this.accelerators : 0);
		used.put("cores", (int) Math.ceil(this.cores * usage)).put("memoryMb", (int) Math.ceil(this.memoryMb * usage));
		return report;
	}

}
