package org.almondmount.fleet;

import java.time.Duration;

/**
 * How long a process waits for the store, learnt from how long it took. Not thread-safe:
 * belongs to one loop.
 * <p>
 * A lost answer is found out by waiting. With a fixed time either a lost answer costs a
 * second, or a store that has become slow is never waited for: every call would be given
 * up and sent again, which makes it slower still. So the time follows the answers and
 * doubles with each one that does not come.
 */
public final class AdaptiveStoreTimeout {

	/** Nothing shorter: a process may be held up itself for so long, in milliseconds. */
	private static final double MIN_TIMEOUT_MILLIS = 150;

	/** Nothing longer: half of the three seconds that most callers give. */
	private static final double MAX_TIMEOUT_MILLIS = 1_200;

	/** Answers come within six times the usual but for one in some thousand. */
	private static final double AVERAGE_MULTIPLIER = 6;

	/** A slow store takes longer for an answer, in milliseconds. */
	private static final long MAX_QUICK_ANSWER_MILLIS = 100;

	private static final double SMOOTHING_FACTOR = 0.3;

	private static final int MAX_DOUBLINGS = 3;

	/**
	 * What is expected before the first answers, in milliseconds. A process that has just
	 * started is slow itself: its first answers took up to 200 ms, and one given up too
	 * early makes it refuse callers.
	 */
	private static final double INITIAL_AVERAGE_MILLIS = 100;

	private double averageMillis = INITIAL_AVERAGE_MILLIS;

	private boolean lastAnswerQuick;

	private int consecutiveTimeouts;

	private boolean answering = true;

	private Runnable onSilence = () -> {
	};

	/**
	 * How long an answer is of any use.
	 * @return the longest that {@link #timeout()} becomes
	 */
	public static Duration maxTimeout() {
		return Duration.ofMillis((long) MAX_TIMEOUT_MILLIS);
	}

	/**
	 * How long to wait for the next answer.
	 * @return the time
	 */
	public Duration timeout() {
		double millis = Math.max(MIN_TIMEOUT_MILLIS, this.averageMillis * AVERAGE_MULTIPLIER)
				* (1 << this.consecutiveTimeouts);
		return Duration.ofMillis((long) Math.min(MAX_TIMEOUT_MILLIS, millis));
	}

	/**
	 * An answer came.
	 * @param durationMillis after which time
	 */
	public void onAnswer(long durationMillis) {
		this.averageMillis += SMOOTHING_FACTOR * (durationMillis - this.averageMillis);
		this.consecutiveTimeouts = 0;
		this.answering = true;
		this.lastAnswerQuick = durationMillis <= MAX_QUICK_ANSWER_MILLIS;
	}

	/**
	 * Whether the last answer came soon, so that the store is not slow, and a write that
	 * it has not answered is lost.
	 * @return whether it did
	 */
	public boolean answersQuickly() {
		return this.lastAnswerQuick;
	}

	/**
	 * Has something done each time a store that answered falls silent.
	 * @param listener what to do
	 */
	public void onSilence(Runnable listener) {
		this.onSilence = listener;
	}

	/** No answer came. */
	public void onTimeout() {
		this.consecutiveTimeouts = Math.min(MAX_DOUBLINGS, this.consecutiveTimeouts + 1);
		boolean wasAnswering = this.answering;
		this.answering = false;
		if (wasAnswering) {
			this.onSilence.run();
		}
	}

	/**
	 * Another process waits for an answer in vain, so that the next one here is doubtful
	 * too.
	 */
	public void onPeerSilence() {
		this.answering = false;
	}

	/**
	 * Whether a call would probably not be answered: the last one was not.
	 * @return whether calls had better not be sent
	 */
	public boolean isSilenceExpected() {
		return !this.answering;
	}

}
