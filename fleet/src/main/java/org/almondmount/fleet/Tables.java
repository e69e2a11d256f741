package org.almondmount.fleet;

import org.almondmount.rows.RowStore.Place;

/**
 * Tables and keys of the rows in the store.
 */
public final class Tables {

	/** Jobs and cancellations as submitted by callers; written by any entry. */
	public static final String INTAKE = "intake";

	/** The progress of jobs; written only by the holder of the term. */
	public static final String PROGRESS = "progress";

	/** Entries and the addresses on which they accept peers. */
	public static final String ENTRIES = "entries";

	/** The row that names the holder of the term. */
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
	 * Whether a row of the intake table is a job.
	 * @param place the row
	 * @return true for a job, false for a cancellation
	 */
	public static boolean isJobRow(Place place) {
		return place.key().startsWith(JOB_KEY_PREFIX);
	}

	/**
	 * Returns the job that a row of the intake table belongs to.
	 * @param place the row
	 * @return the identifier of the job
	 */
	public static String jobId(Place place) {
		return place.key().substring(place.key().indexOf('/') + 1);
	}

}
