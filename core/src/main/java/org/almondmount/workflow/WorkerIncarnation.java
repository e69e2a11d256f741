package org.almondmount.workflow;

/**
 * One incarnation of a worker process. It ends with a crash or a restart, and all its
 * runs end with it.
 *
 * @param worker the identifier of the worker, which may be the same after a restart
 * @param startedAtMillis when this incarnation started, in milliseconds since 1970
 */
public record WorkerIncarnation(String worker, long startedAtMillis) {

	/** No worker. */
	public static final WorkerIncarnation NONE = new WorkerIncarnation("", 0);

	@Override
	public String toString() {
		return this.worker + "@" + this.startedAtMillis;
	}

}
