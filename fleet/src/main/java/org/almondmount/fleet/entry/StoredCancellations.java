package org.almondmount.fleet.entry;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The jobs for which a cancellation is stored as a row of its own. A row may be older
 * than its job, whose submission was still on its way when it was cancelled. Rows whose
 * job has not appeared are removed after the retention time. Confined to the event loop
 * thread.
 */
final class StoredCancellations {

	private final long retentionMillis;

	/** By job, the time from which the row is retained if the job does not appear. */
	private final Map<String, Long> retainedSince = new LinkedHashMap<>();

	StoredCancellations(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Replaces all jobs.
	 * @param now the steady clock in milliseconds
	 * @param jobs the jobs with a stored cancellation
	 */
	void replaceAll(long now, Collection<String> jobs) {
		this.retainedSince.clear();
		jobs.forEach((job) -> add(now, job));
	}

	void add(long now, String job) {
		this.retainedSince.put(job, now);
	}

	boolean contains(String job) {
		return this.retainedSince.containsKey(job);
	}

	void removeAll(Collection<String> jobs) {
		this.retainedSince.keySet().removeAll(jobs);
	}

	/**
	 * Returns a job that has not appeared within the retention time. It is returned again
	 * after another retention time unless it is removed.
	 * @param now the steady clock in milliseconds
	 * @param known whether a job has appeared
	 * @return a job whose row may be removed
	 */
	Optional<String> nextExpired(long now, Predicate<String> known) {
		for (Map.Entry<String, Long> row : this.retainedSince.entrySet()) {
			if (now - row.getValue() >= this.retentionMillis && !known.test(row.getKey())) {
				row.setValue(now);
				return Optional.of(row.getKey());
			}
		}
		return Optional.empty();
	}

}
