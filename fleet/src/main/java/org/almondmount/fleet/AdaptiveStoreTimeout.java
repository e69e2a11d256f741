package org.almondmount.fleet;

import java.time.Duration;

/**
 * Adapts the timeout of store calls to the time that recent answers took, and tracks
 * whether the store answers. Not thread-safe: confined to one event loop.
 * <p>
 * A lost answer is detected only by a timeout. With a fixed timeout either a lost answer
 * costs a second, or the answers of a store that has become slow are never awaited: every
 * call would time out and be sent again, which slows the store down further. So the
 * timeout follows the average duration of answers and doubles with each missing answer.
 */
public final class AdaptiveStoreTimeout {

	/** Lower bound in milliseconds: the process itself may pause for this long. */
	private static final double MIN_TIMEOUT_MILLIS = 150;

	/**
	 * Upper bound in milliseconds: at most half of the three seconds that most callers
	 * allow.
	 */
	private static final double MAX_TIMEOUT_MILLIS = 1_200;

	/** Only one answer in several thousand takes longer than six times the average. */
	private static final double AVERAGE_MULTIPLIER = 6;

	/** Longest duration of an answer of a store that is not slow, in milliseconds. */
	private static final long MAX_QUICK_ANSWER_MILLIS = 100;

	private static final double SMOOTHING_FACTOR = 0.3;

	private static final int MAX_DOUBLINGS = 3;

	/**
	 * Assumed average before the first answers, in milliseconds. A process that has just
	 * started is slow itself: its first answers take up to 200 ms, and a call that times
	 * out too early makes it refuse callers.
	 */
	private static final double INITIAL_AVERAGE_MILLIS = 100;

	private double averageMillis = INITIAL_AVERAGE_MILLIS;

	private boolean lastAnswerQuick;

	private int consecutiveTimeouts;

	private boolean answering = true;

	private Runnable onSilence = () -> {
	};

	/**
	 * Returns the time after which an answer is of no more use.
	 * @return the upper bound of {@link #timeout()}
	 */
	public static Duration maxTimeout() {
		return Duration.ofMillis((long) MAX_TIMEOUT_MILLIS);
	}

	/**
	 * Returns how long to wait for the next answer.
	 * @return the timeout
	 */
	public Duration timeout() {
		double millis = Math.max(MIN_TIMEOUT_MILLIS, this.averageMillis * AVERAGE_MULTIPLIER)
				* (1 << this.consecutiveTimeouts);
		return Duration.ofMillis((long) Math.min(MAX_TIMEOUT_MILLIS, millis));
	}

	/**
	 * Records an answer.
	 * @param durationMillis how long it took
	 */
	public void onAnswer(long durationMillis) {
		this.averageMillis += SMOOTHING_FACTOR * (durationMillis - this.averageMillis);
		this.consecutiveTimeouts = 0;
		this.answering = true;
		this.lastAnswerQuick = durationMillis <= MAX_QUICK_ANSWER_MILLIS;
	}

	/**
	 * Whether the last answer arrived quickly. Then the store is not slow, and a write
	 * without an answer is lost.
	 * @return whether the last answer arrived quickly
	 */
	public boolean answersQuickly() {
		return this.lastAnswerQuick;
	}

	/**
	 * Sets the listener that is called each time a store that answered stops answering.
	 * @param listener the listener
	 */
	public void onSilence(Runnable listener) {
		this.onSilence = listener;
	}

	/** Records a call without an answer. */
	public void onTimeout() {
		this.consecutiveTimeouts = Math.min(MAX_DOUBLINGS, this.consecutiveTimeouts + 1);
		boolean wasAnswering = this.answering;
		this.answering = false;
		if (wasAnswering) {
			this.onSilence.run();
		}
	}

	/**
	 * Records that the store does not answer another process, so that an answer to the
	 * next call of this one is doubtful too.
	 */
	public void onPeerSilence() {
		this.answering = false;
	}

	/**
	 * Whether a call would probably get no answer, because the last one got none.
	 * @return whether calls should be avoided
	 */
	public boolean isSilenceExpected() {
		return !this.answering;
	}

}
