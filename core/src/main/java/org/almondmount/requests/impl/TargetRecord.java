package org.almondmount.requests.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;

import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;
import org.almondmount.requests.TargetPolicy;

/**
 * State of a target at this entry. Not thread-safe.
 */
final class TargetRecord {

	private static final int MAX_EJECTION_DOUBLINGS = 10;

	private final TargetId id;

	private final ZoneId zone;

	private final TargetPolicy policy;

	private final long joinedAt;

	private final List<InFlightAttempt> inFlightAttempts = new ArrayList<>();

	private int slots;

	private boolean draining;

	private boolean connectionFull;

	private int consecutiveErrors;

	private int consecutiveEjections;

	private long ejectedUntil = Long.MIN_VALUE;

	private boolean probing;

	private long lastContactAt;

	private long lastCapWarningAt = Long.MIN_VALUE / 2;

	TargetRecord(TargetId id, ZoneId zone, int slots, long now, TargetPolicy policy) {
		this.id = id;
		this.zone = zone;
		this.slots = slots;
		this.joinedAt = now;
		this.lastContactAt = now;
		this.policy = policy;
	}

	TargetId id() {
		return this.id;
	}

	ZoneId zone() {
		return this.zone;
	}

	long joinedAt() {
		return this.joinedAt;
	}

	int slots() {
		return this.slots;
	}

	void setSlots(int newSlots) {
		this.slots = newSlots;
		this.connectionFull = false;
	}

	boolean draining() {
		return this.draining;
	}

	void startDraining() {
		this.draining = true;
	}

	boolean probing() {
		return this.probing;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	/**
	 * Marks the connection as unable to accept messages until the next message from the
	 * target or the next sweep.
	 */
	void markConnectionFull() {
		this.connectionFull = true;
	}

	boolean connectionFull() {
		return this.connectionFull;
	}

	void clearConnectionFull() {
		this.connectionFull = false;
	}

	boolean hasFreeSlot(long now) {
		return !this.connectionFull && this.inFlightAttempts.size() < usableSlots(now);
	}

	double load(long now) {
		return (this.inFlightAttempts.size() + 1) / (double) Math.max(1, usableSlots(now));
	}

	Collection<InFlightAttempt> inFlightAttempts() {
		return this.inFlightAttempts;
	}

	void addAttempt(InFlightAttempt attempt) {
		if (this.inFlightAttempts.isEmpty()) {
			this.lastContactAt = attempt.sentAt();
		}
		this.inFlightAttempts.add(attempt);
	}

	void removeAttempt(InFlightAttempt attempt) {
		this.inFlightAttempts.remove(attempt);
	}

	/**
	 * Whether to log again that only the cap on ejected targets prevents the ejection of
	 * this one.
	 * @param now the time
	 * @return true at most once per base ejection time
	 */
	boolean shouldLogCapWarning(long now) {
		if (now - this.lastCapWarningAt < this.policy.baseEjectionTime().toMillis()) {
			return false;
		}
		this.lastCapWarningAt = now;
		return true;
	}

	/**
	 * Releases the slot of an attempt.
	 * @param now the time
	 * @param request the request
	 * @param attempt the attempt
	 * @return the attempt, or {@code null} if it occupies no slot of this target
	 */
	InFlightAttempt releaseSlot(long now, RequestId request, int attempt) {
		this.lastContactAt = now;
		this.connectionFull = false;
		Iterator<InFlightAttempt> iterator = this.inFlightAttempts.iterator();
		while (iterator.hasNext()) {
			InFlightAttempt inFlight = iterator.next();
			if (inFlight.attempt() == attempt && inFlight.request().equals(request)) {
				iterator.remove();
				return inFlight;
			}
		}
		return null;
	}

	void recordSuccess() {
		this.consecutiveErrors = 0;
		this.consecutiveEjections = 0;
		this.probing = false;
	}

	/**
	 * Counts an error.
	 * @return whether the target should be ejected
	 */
	boolean recordFailure() {
		this.consecutiveErrors++;
		return this.probing || this.consecutiveErrors >= this.policy.consecutiveErrorsToEject();
	}

	/**
	 * Whether the target is unresponsive. All attempts have to be overdue, since a single
	 * long request does not indicate a fault.
	 * @param now the time
	 * @return true if the target should be ejected
	 */
	boolean isStalled(long now) {
		if (this.inFlightAttempts.isEmpty() || now - this.lastContactAt <= this.policy.stallTimeout().toMillis()) {
			return false;
		}
		for (InFlightAttempt attempt : this.inFlightAttempts) {
			if (attempt.overdueAt() > now) {
				return false;
			}
		}
		return true;
	}

	long eject(long now) {
		long ejectionMillis = this.policy.baseEjectionTime().toMillis() << Math.min(MAX_EJECTION_DOUBLINGS,
				this.consecutiveEjections);
		ejectionMillis = Math.min(ejectionMillis, this.policy.maxEjectionTime().toMillis());
		this.consecutiveEjections++;
		this.consecutiveErrors = 0;
		this.probing = true;
		this.ejectedUntil = now + ejectionMillis;
		return ejectionMillis;
	}

	// A new instance under full load answers its first requests slowly and would be
	// ejected as stalled, so its slots are opened gradually. A target that is probed
	// after an ejection gets one request at a time.
	private int usableSlots(long now) {
		if (this.probing) {
			return Math.min(1, this.slots);
		}
		long slowStartMillis = this.policy.slowStart().toMillis();
		long ageMillis = now - this.joinedAt;
		if (ageMillis >= slowStartMillis) {
			return this.slots;
		}
		double share = this.policy.slowStartShare() + (1 - this.policy.slowStartShare()) * ageMillis / slowStartMillis;
		return Math.min(this.slots, (int) Math.ceil(this.slots * share));
	}

}
