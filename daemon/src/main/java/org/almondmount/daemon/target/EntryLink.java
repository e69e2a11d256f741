package org.almondmount.daemon.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.almondmount.model.EntryId;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * The connection to one entry with its heartbeats. Owned by the decisions duty.
 * <p>
 * A connection on which everything is held back by minutes is not silent, yet orders and
 * calls come out of it when they are long given up. Messages keep their order, so
 * whatever comes after the reply to a heartbeat was sent after that heartbeat. Closing
 * the connection once the oldest unanswered heartbeat is older than the timeout therefore
 * bounds the age of everything that is read from it.
 */
final class EntryLink {

	private final PeerConnection connection;

	private final EntryId entry;

	private final Deque<Beat> unanswered = new ArrayDeque<>();

	private long sequence;

	private int loans;

	private long configurationAskedAt = Long.MIN_VALUE / 2;

	EntryLink(PeerConnection connection) {
		this.connection = connection;
		this.entry = new EntryId(connection.peer().name());
	}

	PeerConnection connection() {
		return this.connection;
	}

	EntryId entry() {
		return this.entry;
	}

	String address() {
		return this.connection.peer().address();
	}

	boolean lend(int slots) {
		this.loans++;
		return this.connection.send(new Message.SlotsLent(slots));
	}

	/**
	 * The number of the next heartbeat, which is noted as sent.
	 * @param now the time
	 * @return its sequence number
	 */
	long nextBeat(long now) {
		this.sequence++;
		this.unanswered.addLast(new Beat(this.sequence, now, this.loans));
		return this.sequence;
	}

	/**
	 * Takes the reply to a heartbeat.
	 * @param repliedSequence the heartbeat's number
	 * @return the heartbeat, or empty if it was answered before
	 */
	Optional<Beat> answered(long repliedSequence) {
		Beat answered = null;
		while (!this.unanswered.isEmpty() && this.unanswered.peekFirst().sequence() <= repliedSequence) {
			answered = this.unanswered.pollFirst();
		}
		boolean matches = answered != null && answered.sequence() == repliedSequence;
		return matches ? Optional.of(answered) : Optional.empty();
	}

	boolean isLate(long now, long timeoutMillis) {
		return !this.unanswered.isEmpty() && now - this.unanswered.peekFirst().sentAt() > timeoutMillis;
	}

	boolean mayAskForConfiguration(long now, long everyMillis) {
		if (now - this.configurationAskedAt < everyMillis) {
			return false;
		}
		this.configurationAskedAt = now;
		return true;
	}

	/**
	 * One heartbeat.
	 *
	 * @param sequence its number
	 * @param sentAt when it was sent
	 * @param loans how many loans were told before it was sent
	 */
	record Beat(long sequence, long sentAt, int loans) {
	}

}
