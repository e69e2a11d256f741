package org.almondmount.fleet;

import org.almondmount.rows.RowStore.Place;

/**
 * Where the workflow programs keep their rows.
 */
public final class Tables {

	/** Jobs and cancels as callers handed them in; any entry writes here. */
	public static final String INTAKE = "intake";

	/** The progress of jobs; only the holder of the term writes here. */
	public static final String PROGRESS = "progress";

	/** Entries and where they accept peers. */
	public static final String ENTRIES = "entries";

	/** The row that says who holds the term. */
	public static final Place TERM = new Place("term", "holder");

	private static final String JOB_KEY_PREFIX = "job/";

	private static final String CANCEL_KEY_PREFIX = "cancel/";

	private Tables() {
	}

	public static Place job(String id) {
		return new Place(INTAKE, JOB_KEY_PREFIX + id);
	}

	public static Place cancel(String id) {
		return new Place(INTAKE, CANCEL_KEY_PREFIX + id);
	}

	public static Place progress(String id) {
		return new Place(PROGRESS, id);
	}

	/**
	 * Whether a row of the intake is a job.
	 * @param place the row
	 * @return whether it is; else it is a cancel
	 */
	public static boolean isJobRow(Place place) {
		return place.key().startsWith(JOB_KEY_PREFIX);
	}

	/**
	 * The job that a row of the intake is about.
	 * @param place the row
	 * @return the job's identifier
	 */
	public static String jobId(Place place) {
		return place.key().substring(place.key().indexOf('/') + 1);
	}

}
