package org.almondmount.workflow;

/**
 * One life of a worker: it ends with a crash or a restart, and what ran in it ends with
 * it.
 *
 * @param worker the worker's identifier, which may come back after a restart
 * @param startedAtMillis when this life began, in milliseconds since 1970
 */
public record WorkerIncarnation(String worker, long startedAtMillis) {

	/** No worker. */
	public static final WorkerIncarnation NONE = new WorkerIncarnation("", 0);

	@Override
	public String toString() {
		return this.worker + "@" + this.startedAtMillis;
	}

}
