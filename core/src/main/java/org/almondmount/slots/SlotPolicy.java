package org.almondmount.slots;

import java.time.Duration;

import org.almondmount.model.InvalidValueException;

/**
 * Options of a slot gate. Immutable; the {@code with} methods return changed copies.
 *
 * @param slots maximum number of attempts that the instance processes at the same time,
 * at least 1
 * @param connections maximum number of connections that the instance accepts, at least 1;
 * each attempt needs one
 * @param remember how long an attempt that ended, was refused or was cancelled is
 * remembered, so that a late copy of it is not run. The connection limits the delay of a
 * copy: it is closed when heartbeats are not answered within the heartbeat timeout (2.5
 * s), so a multiple of that timeout is enough
 * @param rememberAtMost maximum number of remembered attempts; beyond it no new attempt
 * is run, and attempts are no longer reported as not started
 * @param rotation offset that selects the entries which get the remaining slots when
 * slots do not divide evenly; it should differ between targets, otherwise the same
 * entries get fewer slots everywhere
 */
public record SlotPolicy(int slots, int connections, Duration remember, int rememberAtMost, int rotation) {

	/** The default options. */
	public static final SlotPolicy DEFAULT = new SlotPolicy(8, 64, Duration.ofSeconds(30), 65_536, 0);

	public SlotPolicy {
		requireAboveZero("slots", slots);
		requireAboveZero("connections", connections);
		requireAboveZero("rememberAtMost", rememberAtMost);
	}

	/**
	 * Maximum number of attempts that run at the same time.
	 * @return the smaller of slots and connections
	 */
	public int maxRunning() {
		return Math.min(this.slots, this.connections);
	}

	public SlotPolicy withSlots(int newSlots) {
		return new SlotPolicy(newSlots, this.connections, this.remember, this.rememberAtMost, this.rotation);
	}

	public SlotPolicy withConnections(int newConnections) {
		return new SlotPolicy(this.slots, newConnections, this.remember, this.rememberAtMost, this.rotation);
	}

	public SlotPolicy withRemember(Duration time, int atMost) {
		return new SlotPolicy(this.slots, this.connections, time, atMost, this.rotation);
	}

	public SlotPolicy withRotation(int newRotation) {
		return new SlotPolicy(this.slots, this.connections, this.remember, this.rememberAtMost, newRotation);
	}

	private static void requireAboveZero(String field, int value) {
		if (value < 1) {
			throw new InvalidValueException(field, "is " + value + "; give 1 or more");
		}
	}

}
