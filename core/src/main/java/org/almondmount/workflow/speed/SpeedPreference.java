package org.almondmount.workflow.speed;

/**
 * Which workers a unit of work prefers by their speed.
 */
public enum SpeedPreference {

	/** Any worker: the workers are alike. */
	NONE {

		@Override
		public int rank(boolean fast) {
			return 0;
		}

	},

	/**
	 * Fast workers, because the objective of the job leaves little time beyond its run
	 * time.
	 */
	FAST_FIRST {

		@Override
		public int rank(boolean fast) {
			return fast ? 0 : 1;
		}

	},

	/**
	 * The other workers, so that fast ones stay free for jobs with a tight objective.
	 */
	FAST_LAST {

		@Override
		public int rank(boolean fast) {
			return fast ? 1 : 0;
		}

	};

	/**
	 * Returns the preference of a job.
	 * @param profile the speeds of the fleet
	 * @param tight whether the objective of its queue leaves little time
	 * @return the preference
	 */
	public static SpeedPreference of(SpeedProfile profile, boolean tight) {
		if (!profile.isUneven()) {
			return NONE;
		}
		return tight ? FAST_FIRST : FAST_LAST;
	}

	/**
	 * Ranks a worker.
	 * @param fast whether it is a fast one
	 * @return the rank; lower is preferred
	 */
	public abstract int rank(boolean fast);

}
