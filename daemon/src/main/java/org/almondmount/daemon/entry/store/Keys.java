package org.almondmount.daemon.entry.store;

import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.JobId;

/**
 * The keys of the rows, see {@code docs/DESIGN.md}.
 */
public final class Keys {

	/** Before the identifier of a job. */
	public static final String JOBS = "jobs/";

	/** Before the number of a history line. */
	public static final String HISTORY = "history/";

	private static final String LEASE = "lease/";

	private static final String EPOCH = "epoch/";

	private static final String CONFIGURATION = "configuration/";

	private static final String PLANS = "plans/";

	private static final String CLAIMS = "keys/";

	private static final String ENTRIES = "entries/";

	private Keys() {
	}

	public static String lease(String region) {
		return LEASE + region;
	}

	/**
	 * The row that changes only with a takeover. Everything that a holder commits is on
	 * the condition of its version; the lease's own row changes with each renewal, and
	 * commits under way would fail for no reason.
	 * @param region the region
	 * @return the key
	 */
	public static String epoch(String region) {
		return EPOCH + region;
	}

	public static String configuration(String region) {
		return CONFIGURATION + region;
	}

	public static String plan(String id) {
		return PLANS + id;
	}

	public static String job(JobId job) {
		return JOBS + job.value();
	}

	public static String claim(CustomerId customer, String key) {
		return CLAIMS + customer.value() + "/" + key;
	}

	public static String entries(String region) {
		return ENTRIES + region + "/";
	}

	public static String entry(String region, EntryId entry) {
		return entries(region) + entry.value();
	}

	/**
	 * The key of a history line; keys are in the order of what happened.
	 * @param epoch the holder's epoch
	 * @param number the line's number under that epoch
	 * @return the key
	 */
	public static String history(long epoch, long number) {
		return HISTORY + String.format("%010d-%08d", epoch, number);
	}

}
