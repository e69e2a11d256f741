package org.almondmount.slots;

import java.time.Duration;

import org.almondmount.model.InvalidValueException;

/**
 * The options of a slot gate. Immutable; changed by its with-methods.
 *
 * @param slots attempts that the instance works on at the same time, at least 1
 * @param connections connections that the instance accepts, at least 1; each attempt
 * needs one
 * @param remember how long an attempt that ended, was refused or was cancelled is known,
 * so that a late copy of it is not run. A copy can only come late by what the connection
 * holds back, and a connection whose heartbeats are not answered within the heartbeat
 * timeout (2.5 s) is closed, so a multiple of that is enough
 * @param rememberAtMost attempts that are remembered at the same time; beyond it nothing
 * new is run, and refusals no longer claim to be final
 * @param rotation which entries get one slot more where slots do not divide evenly; it
 * should differ from target to target, or the same entries get less everywhere
 */
public record SlotPolicy(int slots, int connections, Duration remember, int rememberAtMost, int rotation) {

	/** The options that hold where nothing else is said. */
	public static final SlotPolicy DEFAULT = new SlotPolicy(8, 64, Duration.ofSeconds(30), 65_536, 0);

	public SlotPolicy {
		requireAboveZero("slots", slots);
		requireAboveZero("connections", connections);
		requireAboveZero("rememberAtMost", rememberAtMost);
	}

	/**
	 * Attempts that may run at the same time.
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
