package org.almondmount.workflow.preemption;

/**
 * What stopping a run means to the caller of its job.
 */
public enum StopEffect {

	/** The result will be of no use any more, whether the run is stopped or not. */
	USELESS {

		@Override
		public double lostCoreSeconds(double repeatedCoreSeconds) {
			return 0;
		}

	},

	/** The job stays in time or is late anyway; only the stopped work is repeated. */
	DELAYED,

	/** The job could have been in time and becomes late. */
	MADE_LATE {

		@Override
		public double lateCoreSeconds(double stepCoreSeconds) {
			return stepCoreSeconds;
		}

	};

	/**
	 * Predicts the effect of a stop.
	 * @param useful whether the result will be of use if the run continues
	 * @param inTime whether the job will be in time if the run continues
	 * @param inTimeAfterRestart whether the job will be in time if the run is stopped
	 * @return the effect
	 */
	public static StopEffect of(boolean useful, boolean inTime, boolean inTimeAfterRestart) {
		if (!useful) {
			return USELESS;
		}
		return (inTime && !inTimeAfterRestart) ? MADE_LATE : DELAYED;
	}

	/**
	 * Returns the work that is lost with a run.
	 * @param repeatedCoreSeconds the work that is repeated after a restart
	 * @return core-seconds
	 */
	public double lostCoreSeconds(double repeatedCoreSeconds) {
		return repeatedCoreSeconds;
	}

	/**
	 * Returns the work whose result is lost to its caller in time.
	 * @param stepCoreSeconds the expected work of the whole step
	 * @return core-seconds, which count once for all stopped runs of the step
	 */
	public double lateCoreSeconds(double stepCoreSeconds) {
		return 0;
	}

}
