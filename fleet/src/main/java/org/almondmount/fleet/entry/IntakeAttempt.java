package org.almondmount.fleet.entry;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Submission;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.intake.IntakeRefusal;
import org.almondmount.workflow.Workflow;

/**
 * One job on its way into the store. Mutable; belongs to the loop's thread.
 */
final class IntakeAttempt {

	private static final int NO_COPY = 0;

	/**
	 * Entries that are asked to accept one job, so that an outage is no flood of calls.
	 */
	private static final int MOST_PEERS = 3;

	private final Workflow job;

	private final String text;

	private final long arrivedMillis;

	private final long patienceMillis;

	private final boolean forPeer;

	private final CompletableFuture<Submission> outcome;

	/** Addresses of the entries that were asked to accept it. */
	private final Set<String> peersAsked = new HashSet<>();

	private boolean accepted;

	private int copies;

	private int copiesOut;

	private int currentCopy = NO_COPY;

	private long lastCopyAt;

	private boolean unsettled;

	private IntakeRefusal why = IntakeRefusal.STORE_SILENT;

	private String detail = "";

	IntakeAttempt(Workflow job, long arrivedMillis, long patienceMillis, boolean forPeer,
			CompletableFuture<Submission> outcome) {
		this.job = job;
		this.text = RecordCodec.write(job);
		this.arrivedMillis = arrivedMillis;
		this.patienceMillis = patienceMillis;
		this.forPeer = forPeer;
		this.outcome = outcome;
	}

	Workflow job() {
		return this.job;
	}

	/**
	 * The job as it is kept.
	 * @return the text of its row
	 */
	String text() {
		return this.text;
	}

	long arrivedMillis() {
		return this.arrivedMillis;
	}

	long patienceMillis() {
		return this.patienceMillis;
	}

	long leftMillis(long now) {
		return this.arrivedMillis + this.patienceMillis - now;
	}

	/**
	 * Whether it came to another entry, which waits for the store itself.
	 * @return whether it did
	 */
	boolean forPeer() {
		return this.forPeer;
	}

	CompletableFuture<Submission> outcome() {
		return this.outcome;
	}

	/**
	 * Whether an entry may be asked to accept it. A few are, each once; what comes from
	 * another entry is not passed on.
	 * @param address the entry's address
	 * @return whether it may
	 */
	boolean mayAskPeer(String address) {
		return !this.forPeer && this.peersAsked.size() < MOST_PEERS && !this.peersAsked.contains(address);
	}

	void peerAsked(String address) {
		this.peersAsked.add(address);
	}

	boolean accepted() {
		return this.accepted;
	}

	void accept() {
		this.accepted = true;
	}

	/**
	 * Takes note of a copy of its write that leaves.
	 * @param now the steady clock
	 * @return the copy's number
	 */
	int sendCopy(long now) {
		this.lastCopyAt = now;
		this.copiesOut++;
		this.currentCopy = ++this.copies;
		return this.currentCopy;
	}

	void copyEnded() {
		this.copiesOut--;
	}

	/**
	 * Takes note that a copy is answered or overdue.
	 * @param copy its number
	 * @return whether it was waited for until now
	 */
	boolean noLongerWaitsFor(int copy) {
		if (this.currentCopy != copy) {
			return false;
		}
		this.currentCopy = NO_COPY;
		return true;
	}

	boolean anyCopyOut() {
		return this.copiesOut > 0;
	}

	long lastCopyAt() {
		return this.lastCopyAt;
	}

	/**
	 * Whether it was sent to the store and may be kept.
	 * @return whether nobody can tell
	 */
	boolean unsettled() {
		return this.unsettled;
	}

	void mayBeKept() {
		this.unsettled = true;
	}

	IntakeRefusal why() {
		return this.unsettled ? IntakeRefusal.UNSETTLED : this.why;
	}

	String detail() {
		return this.detail;
	}

	void refused(IntakeRefusal reason, String said) {
		this.why = reason;
		this.detail = said;
	}

}
