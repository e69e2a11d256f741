package org.almondmount.worker;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.workflow.WorkerIncarnation;

/**
 * Announcements of incarnations that the worker has not confirmed yet. Anybody may send
 * an announcement, so the worker itself is asked whether it is the announced incarnation.
 * Mutable; owned by the worker manager.
 */
final class UnconfirmedAnnouncements {

	/** Limit of announced incarnations; the oldest one is dropped for a new one. */
	private static final int MAX_INCARNATIONS = 8;

	private final Map<WorkerIncarnation, Entry> entries = new LinkedHashMap<>();

	private final long validityMillis;

	private final long retryPauseMillis;

	UnconfirmedAnnouncements(long validityMillis, long retryPauseMillis) {
		this.validityMillis = validityMillis;
		this.retryPauseMillis = retryPauseMillis;
	}

	/**
	 * Adds an announcement. The latest announcement of an incarnation is kept.
	 * @param now the monotonic clock in milliseconds
	 * @param announced the announcement
	 * @return the incarnation that was dropped for it, if any
	 */
	Optional<WorkerIncarnation> add(long now, WorkerEvent.WorkerAnnounced announced) {
		Entry known = this.entries.get(announced.description().incarnation());
		if (known != null) {
			known.update(now, announced);
			return Optional.empty();
		}
		this.entries.put(announced.description().incarnation(), new Entry(now, announced));
		return (this.entries.size() > MAX_INCARNATIONS) ? Optional.of(removeOldest()) : Optional.empty();
	}

	private WorkerIncarnation removeOldest() {
		Iterator<WorkerIncarnation> oldest = this.entries.keySet().iterator();
		WorkerIncarnation removed = oldest.next();
		oldest.remove();
		return removed;
	}

	/**
	 * Removes the announcements that have waited for too long.
	 * @param now the monotonic clock in milliseconds
	 * @return the incarnations that were announced
	 */
	List<WorkerIncarnation> removeExpired(long now) {
		List<WorkerIncarnation> expired = new ArrayList<>();
		this.entries.forEach((incarnation, entry) -> {
			if (now - entry.receivedAt > this.validityMillis) {
				expired.add(incarnation);
			}
		});
		expired.forEach(this.entries::remove);
		return expired;
	}

	/**
	 * Returns the incarnations that the worker has to be asked for now.
	 * @param now the monotonic clock in milliseconds
	 * @return the announced incarnations for which no poll is outstanding
	 */
	List<WorkerIncarnation> due(long now) {
		List<WorkerIncarnation> due = new ArrayList<>();
		this.entries.forEach((incarnation, entry) -> {
			if (entry.outstandingPoll == 0 && now >= entry.nextPollAt) {
				due.add(incarnation);
			}
		});
		return due;
	}

	void recordPoll(WorkerIncarnation incarnation, long pollNumber) {
		this.entries.get(incarnation).outstandingPoll = pollNumber;
	}

	/**
	 * Returns the announced incarnation that a poll asked for.
	 * @param pollNumber the number of the poll
	 * @return the incarnation, or empty if it was another poll or the announcement is
	 * dropped
	 */
	Optional<WorkerIncarnation> askedBy(long pollNumber) {
		return this.entries.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().outstandingPoll == pollNumber)
			.map(Map.Entry::getKey)
			.findFirst();
	}

	void retryLater(long now, WorkerIncarnation incarnation) {
		Entry entry = this.entries.get(incarnation);
		entry.outstandingPoll = 0;
		entry.nextPollAt = now + this.retryPauseMillis;
	}

	/**
	 * Removes the announcement of an incarnation.
	 * @param incarnation the incarnation
	 * @return its announcement, or empty if there is none
	 */
	Optional<Received> remove(WorkerIncarnation incarnation) {
		return Optional.ofNullable(this.entries.remove(incarnation))
			.map((entry) -> new Received(entry.receivedAt, entry.announced));
	}

	/**
	 * An announcement.
	 *
	 * @param receivedAt when it was received, by the monotonic clock in milliseconds
	 * @param announced the announcement
	 */
	record Received(long receivedAt, WorkerEvent.WorkerAnnounced announced) {
	}

	private static final class Entry {

		private long receivedAt;

		private WorkerEvent.WorkerAnnounced announced;

		private long outstandingPoll;

		private long nextPollAt = Long.MIN_VALUE;

		private Entry(long receivedAt, WorkerEvent.WorkerAnnounced announced) {
			this.receivedAt = receivedAt;
			this.announced = announced;
		}

		private void update(long now, WorkerEvent.WorkerAnnounced later) {
			if (later.announcementNumber() >= this.announced.announcementNumber()) {
				this.receivedAt = now;
				this.announced = later;
			}
		}

	}

}
