package org.almondmount.workflow.attempt;

import java.util.Optional;

import org.almondmount.workflow.LoadDecision;

/**
 * Where a retry may be placed.
 */
public enum RetryPlacement {

	/** On any worker that may run the unit. */
	UNRESTRICTED("", null),

	/** On workers where the unit has not failed. */
	AVOIDING_FAILED("retry-avoids-workers", LoadDecision.FAILED_WORKER_AVOIDED),

	/**
	 * Also on workers where the unit has failed, since the others could not hold it, or
	 * have no room and the unit does not wait any longer.
	 */
	REPEATING("retry-may-repeat-worker", null),

	/** Nowhere yet: the workers where the unit has not failed may not be known yet. */
	AWAITING_WORKERS("retry-awaits-workers", null),

	/** On proven workers, because it is the last attempt. */
	ON_PROVEN("last-attempt-on-proven", null),

	/** Nowhere yet: too few workers are proven for the last attempt. */
	HELD_BACK("last-attempt-held-back", LoadDecision.LAST_ATTEMPT_HELD_BACK),

	/** On workers that are not proven, because the last attempt can't wait any longer. */
	UNPROVEN("last-attempt-unproven", null);

	private final String event;

	private final LoadDecision counted;

	RetryPlacement(String event, LoadDecision counted) {
		this.event = event;
		this.counted = counted;
	}

	/**
	 * Returns the name of the log event that reports the decision.
	 * @return the name, or empty if nothing is decided that needs an explanation
	 */
	public String event() {
		return this.event;
	}

	/**
	 * Returns the decision under which it is counted for administrators.
	 * @return the decision, or empty if it is not counted
	 */
	public Optional<LoadDecision> counted() {
		return Optional.ofNullable(this.counted);
	}

	/**
	 * Whether the unit is not placed for now.
	 * @return whether no capacity may be reserved or freed for it either
	 */
	public boolean waits() {
		return this == AWAITING_WORKERS || this == HELD_BACK;
	}

}
