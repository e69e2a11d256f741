package org.almondmount.fleet.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.EventLoop;
import org.almondmount.wire.Message;

/**
 * Calls between entries: their methods and statuses, and the calls to the holder.
 * Confined to the event loop thread.
 */
final class EntryCalls {

	/** Notifies the holder of a job that another entry accepted. */
	static final String ACCEPTED = "accepted";

	/** Asks another entry to accept a job. */
	static final String SUBMIT = "submit";

	/** Notifies the holder of a cancellation that is stored beside its job. */
	static final String CANCEL_PERSISTED = "cancel-kept";

	/** Asks the holder for the phase of a job. */
	static final String PHASE = "phase";

	/** Asks the holder to cancel a job. */
	static final String CANCEL = "cancel";

	/** Asks the holder for the number of queued jobs of a queue. */
	static final String WAITING = "waiting";

	/** Header of the answer to {@link #PHASE}: why the job failed. */
	static final String REASON_HEADER = "why";

	static final int OK = 200;

	static final int UNKNOWN_JOB = 404;

	static final int UNAVAILABLE = 503;

	static final int UNSETTLED = 504;

	/** Time for the holder to answer from memory before the store is read instead. */
	static final long HOLDER_TIMEOUT_MILLIS = 500;

	/**
	 * Delay before a notification that no holder acknowledged is sent again, in
	 * milliseconds.
	 */
	private static final long NOTIFY_RETRY_DELAY_MILLIS = 200;

	/** After this many attempts the holder has read the store itself. */
	private static final int MAX_NOTIFICATION_ATTEMPTS = 10;

	private final TermDriver term;

	private final PeerLinks peers;

	private final EventLoop loop;

	EntryCalls(TermDriver term, PeerLinks peers, EventLoop loop) {
		this.term = term;
		this.peers = peers;
		this.loop = loop;
	}

	/**
	 * Notifies the holder of a stored row, with retries until a holder acknowledges it.
	 * The holder finds the row in the store as well, but later.
	 * @param method the kind of notification
	 * @param job the job concerned
	 * @param body additional content
	 */
	void notifyHolder(String method, String job, byte[] body) {
		notifyHolder(method, job, body, MAX_NOTIFICATION_ATTEMPTS);
	}

	private void notifyHolder(String method, String job, byte[] body, int attemptsLeft) {
		this.loop.onCompletion(callHolder(method, job, body, HOLDER_TIMEOUT_MILLIS), (answer) -> {
			boolean acknowledged = answer.isPresent() && answer.get().status() == OK;
			if (!acknowledged && attemptsLeft > 1) {
				this.loop.schedule(NOTIFY_RETRY_DELAY_MILLIS, () -> notifyHolder(method, job, body, attemptsLeft - 1));
			}
		});
	}

	/**
	 * Calls the holder of the term.
	 * @param method the method
	 * @param subject the job or queue concerned
	 * @param body additional content
	 * @param timeoutMillis how long to wait for the answer
	 * @return the answer, or empty if none arrived in time
	 */
	CompletableFuture<Optional<Message.ForwardAnswer>> callHolder(String method, String subject, byte[] body,
			long timeoutMillis) {
		return this.term.holder()
			.map((row) -> this.peers.call(row.address(), method, subject, body, timeoutMillis))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

}
