package org.almondmount.requests.impl;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;
import org.almondmount.model.RunState;
import org.almondmount.model.TargetId;
import org.almondmount.requests.RequestEvent;

/**
 * State of a request until it completes. Not thread-safe.
 */
final class RequestRecord {

	private final RequestEvent.Arrived arrival;

	private final long arrivedAt;

	private final Map<Integer, TargetId> openAttempts = new TreeMap<>();

	private final Set<TargetId> triedTargets = new HashSet<>();

	private Phase phase = Phase.QUEUED;

	private int attemptCount;

	private boolean callerGone;

	private boolean mayHoldKey;

	private boolean mayHaveRun;

	private long sentAt;

	RequestRecord(RequestEvent.Arrived arrival, long arrivedAt) {
		this.arrival = arrival;
		this.arrivedAt = arrivedAt;
	}

	RequestId id() {
		return this.arrival.request();
	}

	CustomerId customer() {
		return this.arrival.customer();
	}

	boolean isIdempotent() {
		return this.arrival.idempotent();
	}

	Optional<String> key() {
		return this.arrival.key();
	}

	long deadline() {
		return this.arrival.deadlineMillis();
	}

	long arrivedAt() {
		return this.arrivedAt;
	}

	long sentAt() {
		return this.sentAt;
	}

	int attemptCount() {
		return this.attemptCount;
	}

	Phase phase() {
		return this.phase;
	}

	void enterPhase(Phase newPhase) {
		this.phase = newPhase;
	}

	boolean mayHoldKey() {
		return this.mayHoldKey;
	}

	void markKeyHeld() {
		this.mayHoldKey = true;
	}

	boolean callerGone() {
		return this.callerGone;
	}

	void markCallerGone() {
		this.callerGone = true;
	}

	/**
	 * The targets of the attempts that may still be answered, by attempt number.
	 * @return a live view
	 */
	Map<Integer, TargetId> openAttempts() {
		return this.openAttempts;
	}

	Set<TargetId> triedTargets() {
		return this.triedTargets;
	}

	int openAttempt(long now, TargetId target) {
		this.attemptCount++;
		this.openAttempts.put(this.attemptCount, target);
		this.triedTargets.add(target);
		this.phase = Phase.SENT;
		this.sentAt = now;
		return this.attemptCount;
	}

	boolean isOpen(int attempt, TargetId target) {
		return target.equals(this.openAttempts.get(attempt));
	}

	// Closes an attempt that certainly never ran.
	void closeNotRun(int attempt) {
		this.openAttempts.remove(attempt);
	}

	// Closes an attempt that may have run and whose result is no longer expected.
	void closeMayHaveRun(int attempt) {
		this.openAttempts.remove(attempt);
		this.mayHaveRun = true;
	}

	/**
	 * The run state to report if the request completed now without an answer.
	 * @return {@code NOT_RUN} only if no attempt can have run
	 */
	RunState runState() {
		return (this.mayHaveRun || !this.openAttempts.isEmpty()) ? RunState.MAY_HAVE_RUN : RunState.NOT_RUN;
	}

	/**
	 * Phases of a request.
	 */
	enum Phase {

		/** The idempotency key is being claimed. */
		CLAIMING,

		/** The request waits for a slot. */
		QUEUED,

		/** At least one attempt is open. */
		SENT

	}

}
