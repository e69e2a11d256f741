package org.almondmount.fleet.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.EventLoop;
import org.almondmount.wire.Message;

/**
 * Calls between entries: what they are named, how they are answered, and the way to the
 * holder. Belongs to the loop's thread.
 */
final class EntryCalls {

	/** Tells the holder of a job that another entry accepted. */
	static final String ACCEPTED = "accepted";

	/** Asks another entry to accept a job. */
	static final String SUBMIT = "submit";

	/** Tells the holder of a cancel that is kept beside its job. */
	static final String CANCEL_PERSISTED = "cancel-kept";

	/** Asks the holder where a job stands. */
	static final String PHASE = "phase";

	/** Asks the holder to cancel a job. */
	static final String CANCEL = "cancel";

	/** Asks the holder how many jobs of a queue wait. */
	static final String WAITING = "waiting";

	/** Header of the answer to {@link #PHASE}: why the job was given up. */
	static final String REASON_HEADER = "why";

	static final int OK = 200;

	static final int UNKNOWN_JOB = 404;

	static final int UNAVAILABLE = 503;

	static final int UNSETTLED = 504;

	/** Time for the holder to answer from memory before the store is asked. */
	static final long HOLDER_TIMEOUT_MILLIS = 500;

	/** Pause before a notification that no holder took is sent again, in milliseconds. */
	private static final long NOTIFY_RETRY_DELAY_MILLIS = 200;

	/** After so many tries the holder has read the store itself. */
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
	 * Notifies the holder of something that is kept, with retries until a holder
	 * acknowledges it. The holder finds it in the store as well, but later.
	 * @param method what happened
	 * @param job the job that it is about
	 * @param body more of it
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
	 * Asks the holder of the term.
	 * @param method what is asked
	 * @param subject what it is about
	 * @param body more of it
	 * @param timeoutMillis how long an answer is waited for
	 * @return the answer, or empty where there was none in time
	 */
	CompletableFuture<Optional<Message.ForwardAnswer>> callHolder(String method, String subject, byte[] body,
			long timeoutMillis) {
		return this.term.holder()
			.map((row) -> this.peers.call(row.address(), method, subject, body, timeoutMillis))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

}
