package org.almondmount.workflow.sharing;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the log lines about a decision that is taken again in each placement round: at
 * most one a second for each subject. Mutable.
 */
public final class LogThrottle {

	private static final long INTERVAL_MILLIS = 1_000;

	private final Map<String, Long> loggedMillis = new HashMap<>();

	/**
	 * Whether a line may be logged.
	 * @param subject what the line is about
	 * @param now the steady clock
	 * @return whether none was logged for a second
	 */
	public boolean isDue(String subject, long now) {
		Long last = this.loggedMillis.get(subject);
		return last == null || now - last >= INTERVAL_MILLIS;
	}

	/**
	 * Records a line.
	 * @param subject what the line is about
	 * @param now the steady clock
	 */
	public void record(String subject, long now) {
		this.loggedMillis.values().removeIf((last) -> now - last >= INTERVAL_MILLIS);
		this.loggedMillis.put(subject, now);
	}

}
