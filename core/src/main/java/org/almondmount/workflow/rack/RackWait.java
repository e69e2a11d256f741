package org.almondmount.workflow.rack;

/**
 * Whether a gang goes on waiting for one rack although it would fit across racks now.
 * <p>
 * Answers racks that are held for long or without an end, and racks that others take as
 * soon as they are free. The wait ends when it can't pay any more, so a gang ends at most
 * five thirds as late as if it had started across racks at once where these take three
 * times as long.
 */
public enum RackWait {

	/** The gang is expected to end sooner if it waits. */
	WAITING,

	/** No rack is expected to be free early enough. */
	NO_RACK_IN_TIME,

	/** The gang has waited for as long as one rack could have saved. */
	WAITED_ENOUGH,

	/** Most of the fleet is idle, and the gang would have to wait for long. */
	FLEET_IDLE;

	/**
	 * Maximum time that a gang waits beside an idle fleet, in milliseconds; with a second
	 * for its start, its callers see nothing run for three seconds at most.
	 */
	static final long MAX_IDLE_FLEET_WAIT_MILLIS = 2_000;

	/**
	 * Decides whether a gang waits.
	 * @param gang the gang
	 * @return {@link #WAITING}, or why the gang starts across racks
	 */
	public static RackWait of(WaitingGang gang) {
		long delayMillis = gang.rackDelayMillis().orElse(Long.MAX_VALUE);
		if (delayMillis >= gang.gainMillis()) {
			return NO_RACK_IN_TIME;
		}
		if (gang.waitedMillis() >= gang.gainMillis()) {
			return WAITED_ENOUGH;
		}
		boolean longWait = Math.max(delayMillis, gang.waitedMillis()) >= MAX_IDLE_FLEET_WAIT_MILLIS;
		return (gang.fleetIdle() && longWait) ? FLEET_IDLE : WAITING;
	}

	/**
	 * Whether the gang is not started for now.
	 * @return whether it waits
	 */
	public boolean waits() {
		return this == WAITING;
	}

}
