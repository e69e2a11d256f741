package org.almondmount.daemon.entry.control;

import java.util.Optional;

/**
 * Whether the balancer should send calls to this entry. Changed by the control duty, read
 * on any thread.
 * <p>
 * An entry that has just been replaced knows the configuration before any target has
 * found it. Were it ready then, calls would be refused as {@code no-target} that the
 * other entries could serve. So it waits for the first target, but no longer than a
 * target needs to dial anew: where no target is there at all, the truth is better than
 * silence.
 */
final class Readiness {

	private static final long LONGEST_WAIT_FOR_TARGETS_MILLIS = 5_000;

	private static final String STARTING = "the entry is starting and has not yet read a configuration";

	private static final String WAITING = "no target has connected yet";

	private static final String LEAVING = "the entry shuts down";

	private volatile String reason = STARTING;

	private volatile boolean leaving;

	private boolean targetSeen;

	private boolean configured;

	private long configuredAt;

	/**
	 * Why the entry should get no calls.
	 * @return the reason, or empty while it should
	 */
	Optional<String> notReady() {
		return Optional.ofNullable(this.leaving ? LEAVING : this.reason);
	}

	void configurationInForce(long nowMillis) {
		if (!this.configured) {
			this.configured = true;
			this.configuredAt = nowMillis;
		}
		tick(nowMillis);
	}

	void targetConnected(long nowMillis) {
		this.targetSeen = true;
		tick(nowMillis);
	}

	void tick(long nowMillis) {
		if (!this.configured) {
			return;
		}
		boolean waited = nowMillis - this.configuredAt >= LONGEST_WAIT_FOR_TARGETS_MILLIS;
		this.reason = (this.targetSeen || waited) ? null : WAITING;
	}

	void leave() {
		this.leaving = true;
	}

}
