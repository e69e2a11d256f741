package org.almondmount.fleet.entry;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Submission;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.intake.IntakeRefusal;
import org.almondmount.workflow.Workflow;

/**
 * The submission of one job until it is in the store. Mutable; confined to the event loop
 * thread.
 */
final class IntakeAttempt {

	private static final int NO_AWAITED_COPY = 0;

	/**
	 * Limit of entries that one job is forwarded to, so that an outage does not cause a
	 * flood of calls.
	 */
	private static final int MAX_PEERS = 3;

	private final Workflow job;

	private final String rowValue;

	private final long arrivedMillis;

	private final long timeoutMillis;

	private final boolean receivedFromPeer;

	private final CompletableFuture<Submission> outcome;

	/** Addresses of the entries that the job was forwarded to. */
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
	 * Returns the encoded job.
	 * @return the value of its row
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
	 * Whether another entry received the job from its caller; that entry waits for the
	 * store itself.
	 * @return whether another entry forwarded the job
	 */
	boolean receivedFromPeer() {
		return this.receivedFromPeer;
	}

	CompletableFuture<Submission> outcome() {
		return this.outcome;
	}

	/**
	 * Whether the job may be forwarded to an entry. It is forwarded to a few entries,
	 * once to each; a job from another entry is not forwarded again.
	 * @param address the address of the entry
	 * @return whether the job may be forwarded
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
	 * Records that a copy of the write is sent.
	 * @param nowMillis the time of the steady clock
	 * @return the number of the copy
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
	 * Records that a copy is answered or overdue.
	 * @param copy the number of the copy
	 * @return whether the copy was awaited until now
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
	 * Whether the job was sent to the store and may be stored.
	 * @return whether the outcome is unknown
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
