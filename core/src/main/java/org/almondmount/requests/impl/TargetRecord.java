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
 * One target as this entry sees it. Not thread-safe.
 */
final class TargetRecord {

	private static final int MOST_DOUBLINGS = 10;

	private final TargetId id;

	private final ZoneId zone;

	private final TargetPolicy policy;

	private final long joinedAt;

	private final List<Flight> flights = new ArrayList<>();

	private int slots;

	private boolean leaving;

	private boolean full;

	private int errorsInRow;

	private int ejectionsInRow;

	private long ejectedUntil = Long.MIN_VALUE;

	private boolean probing;

	private long heardAt;

	private long complainedAt = Long.MIN_VALUE / 2;

	TargetRecord(TargetId id, ZoneId zone, int slots, long now, TargetPolicy policy) {
		this.id = id;
		this.zone = zone;
		this.slots = slots;
		this.joinedAt = now;
		this.heardAt = now;
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

	void lend(int newSlots) {
		this.slots = newSlots;
		this.full = false;
	}

	boolean leaving() {
		return this.leaving;
	}

	void leave() {
		this.leaving = true;
	}

	boolean probing() {
		return this.probing;
	}

	boolean ejected(long now) {
		return now < this.ejectedUntil;
	}

	/**
	 * The connection takes nothing right now; the next word from the target reopens it.
	 */
	void markFull() {
		this.full = true;
	}

	boolean full() {
		return this.full;
	}

	void reopen() {
		this.full = false;
	}

	boolean hasRoom(long now) {
		return !this.full && this.flights.size() < openSlots(now);
	}

	double load(long now) {
		return (this.flights.size() + 1) / (double) Math.max(1, openSlots(now));
	}

	Collection<Flight> flights() {
		return this.flights;
	}

	void take(Flight flight) {
		if (this.flights.isEmpty()) {
			this.heardAt = flight.sentAt();
		}
		this.flights.add(flight);
	}

	void drop(Flight flight) {
		this.flights.remove(flight);
	}

	/**
	 * Whether an operator may be told again that it would be ejected but for the cap.
	 * @param now the time
	 * @return true once in the time of a first ejection
	 */
	boolean mayComplain(long now) {
		if (now - this.complainedAt < this.policy.ejectFor().toMillis()) {
			return false;
		}
		this.complainedAt = now;
		return true;
	}

	/**
	 * Frees the slot of an attempt.
	 * @param now the time
	 * @param request the request
	 * @param attempt the attempt
	 * @return the attempt, or null if it holds no slot here
	 */
	Flight free(long now, RequestId request, int attempt) {
		this.heardAt = now;
		this.full = false;
		Iterator<Flight> all = this.flights.iterator();
		while (all.hasNext()) {
			Flight flight = all.next();
			if (flight.attempt() == attempt && flight.request().equals(request)) {
				all.remove();
				return flight;
			}
		}
		return null;
	}

	void succeeded() {
		this.errorsInRow = 0;
		this.ejectionsInRow = 0;
		this.probing = false;
	}

	/**
	 * Counts an error.
	 * @return whether the target should be ejected
	 */
	boolean failed() {
		this.errorsInRow++;
		return this.probing || this.errorsInRow >= this.policy.errorsToEject();
	}

	/**
	 * Whether it went silent: one long request is no sign, so all have to be overdue.
	 * @param now the time
	 * @return true if it should be ejected
	 */
	boolean stalled(long now) {
		if (this.flights.isEmpty() || now - this.heardAt <= this.policy.stallAfter().toMillis()) {
			return false;
		}
		for (Flight flight : this.flights) {
			if (flight.overdueAt() > now) {
				return false;
			}
		}
		return true;
	}

	long eject(long now) {
		long time = this.policy.ejectFor().toMillis() << Math.min(MOST_DOUBLINGS, this.ejectionsInRow);
		time = Math.min(time, this.policy.ejectAtMost().toMillis());
		this.ejectionsInRow++;
		this.errorsInRow = 0;
		this.probing = true;
		this.ejectedUntil = now + time;
		return time;
	}

	// A fresh instance that gets its full share at once answers its first requests slowly
	// and is then taken for a stalled one; a target on trial gets one request at a time.
	private int openSlots(long now) {
		if (this.probing) {
			return Math.min(1, this.slots);
		}
		long ramp = this.policy.slowStart().toMillis();
		long age = now - this.joinedAt;
		if (age >= ramp) {
			return this.slots;
		}
		double share = this.policy.slowStartShare() + (1 - this.policy.slowStartShare()) * age / ramp;
		return Math.min(this.slots, (int) Math.ceil(this.slots * share));
	}

}
