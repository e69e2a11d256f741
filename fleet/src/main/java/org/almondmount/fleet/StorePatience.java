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
public final class StorePatience {

	/** Nothing shorter: a process may be held up itself for so long, in milliseconds. */
	private static final double SHORTEST_MILLIS = 150;

	/** Nothing longer: half of the three seconds that most callers give. */
	private static final double LONGEST_MILLIS = 1_200;

	/** Answers come within six times the usual but for one in some thousand. */
	private static final double TIMES_THE_USUAL = 6;

	/** A slow store takes longer for an answer, in milliseconds. */
	private static final long QUICK_MILLIS = 100;

	private static final double WEIGHT_OF_THE_LAST = 0.3;

	private static final int MOST_DOUBLINGS = 3;

	/**
	 * What is expected before the first answers, in milliseconds. A process that has just
	 * started is slow itself: its first answers took up to 200 ms, and one given up too
	 * early makes it refuse callers.
	 */
	private static final double FIRST_MILLIS = 100;

	private double usualMillis = FIRST_MILLIS;

	private boolean quick;

	private int silences;

	private boolean answering = true;

	private Runnable whenSilent = () -> {
	};

	/**
	 * How long an answer is of any use.
	 * @return the longest that {@link #timeout()} becomes
	 */
	public static Duration longest() {
		return Duration.ofMillis((long) LONGEST_MILLIS);
	}

	/**
	 * How long to wait for the next answer.
	 * @return the time
	 */
	public Duration timeout() {
		double millis = Math.max(SHORTEST_MILLIS, this.usualMillis * TIMES_THE_USUAL) * (1 << this.silences);
		return Duration.ofMillis((long) Math.min(LONGEST_MILLIS, millis));
	}

	/**
	 * An answer came.
	 * @param millis after which time
	 */
	public void answered(long millis) {
		this.usualMillis += WEIGHT_OF_THE_LAST * (millis - this.usualMillis);
		this.silences = 0;
		this.answering = true;
		this.quick = millis <= QUICK_MILLIS;
	}

	/**
	 * Whether the last answer came soon, so that the store is not slow, and a write that
	 * it has not answered is lost.
	 * @return whether it did
	 */
	public boolean answersQuickly() {
		return this.quick;
	}

	/**
	 * Has something done each time a store that answered falls silent.
	 * @param listener what to do
	 */
	public void whenSilent(Runnable listener) {
		this.whenSilent = listener;
	}

	/** No answer came. */
	public void silent() {
		this.silences = Math.min(MOST_DOUBLINGS, this.silences + 1);
		boolean answered = this.answering;
		this.answering = false;
		if (answered) {
			this.whenSilent.run();
		}
	}

	/**
	 * Another process waits for an answer in vain, so that the next one here is doubtful
	 * too.
	 */
	public void doubt() {
		this.answering = false;
	}

	/**
	 * Whether a call would probably not be answered: the last one was not.
	 * @return whether calls had better not be sent
	 */
	public boolean expectsSilence() {
		return !this.answering;
	}

}
