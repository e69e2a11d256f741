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

	private static final int NO_AWAITED_COPY = 0;

	/**
	 * Entries that are asked to accept one job, so that an outage is no flood of calls.
	 */
	private static final int MAX_PEERS = 3;

	private final Workflow job;

	private final String rowValue;

	private final long arrivedMillis;

	private final long timeoutMillis;

	private final boolean receivedFromPeer;

	private final CompletableFuture<Submission> outcome;

	/** Addresses of the entries that were asked to accept it. */
	private final Set<String> forwardedTo = new HashSet<>();

	private boolean accepted;

	private int copyCount;

	private int pendingCopyCount;

	private int awaitedCopy = NO_AWAITED_COPY;

	private long lastCopyAtMillis;

	private boolean unsettled;

	private IntakeRefusal reason = IntakeRefusal.STORE_SILENT;

	private String detail = "";

	IntakeAttempt(Workflow job, long arrivedMillis, long timeoutMillis, boolean receivedFromPeer,
			CompletableFuture<Submission> outcome) {
		this.job = job;
		this.rowValue = RecordCodec.write(job);
		this.arrivedMillis = arrivedMillis;
		this.timeoutMillis = timeoutMillis;
		this.receivedFromPeer = receivedFromPeer;
		this.outcome = outcome;
	}

	Workflow job() {
		return this.job;
	}

	/**
	 * The job as it is kept.
	 * @return the text of its row
	 */
	String rowValue() {
		return this.rowValue;
	}

	long arrivedMillis() {
		return this.arrivedMillis;
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

	long remainingMillis(long nowMillis) {
		return this.arrivedMillis + this.timeoutMillis - nowMillis;
	}

	/**
	 * Whether it came to another entry, which waits for the store itself.
	 * @return whether it did
	 */
	boolean receivedFromPeer() {
		return this.receivedFromPeer;
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
	boolean mayForwardTo(String address) {
		return !this.receivedFromPeer && this.forwardedTo.size() < MAX_PEERS && !this.forwardedTo.contains(address);
	}

	void markForwardedTo(String address) {
		this.forwardedTo.add(address);
	}

	boolean accepted() {
		return this.accepted;
	}

	void markAccepted() {
		this.accepted = true;
	}

	/**
	 * Takes note of a copy of its write that leaves.
	 * @param nowMillis the steady clock
	 * @return the copy's number
	 */
	int startCopy(long nowMillis) {
		this.lastCopyAtMillis = nowMillis;
		this.pendingCopyCount++;
		this.awaitedCopy = ++this.copyCount;
		return this.awaitedCopy;
	}

	void endCopy() {
		this.pendingCopyCount--;
	}

	/**
	 * Takes note that a copy is answered or overdue.
	 * @param copy its number
	 * @return whether it was waited for until now
	 */
	boolean stopAwaiting(int copy) {
		if (this.awaitedCopy != copy) {
			return false;
		}
		this.awaitedCopy = NO_AWAITED_COPY;
		return true;
	}

	boolean hasPendingCopies() {
		return this.pendingCopyCount > 0;
	}

	long lastCopyAtMillis() {
		return this.lastCopyAtMillis;
	}

	/**
	 * Whether it was sent to the store and may be kept.
	 * @return whether nobody can tell
	 */
	boolean unsettled() {
		return this.unsettled;
	}

	void markUnsettled() {
		this.unsettled = true;
	}

	IntakeRefusal reason() {
		return this.unsettled ? IntakeRefusal.UNSETTLED : this.reason;
	}

	String detail() {
		return this.detail;
	}

	void setRefusal(IntakeRefusal reason, String detailText) {
		this.reason = reason;
		this.detail = detailText;
	}

}
