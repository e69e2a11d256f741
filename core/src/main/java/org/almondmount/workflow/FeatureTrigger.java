package org.almondmount.workflow;

import java.util.LongSummaryStatistics;

/**
 * What the configuration of operators must hold for a feature of the scheduler to be
 * active.
 */
public enum FeatureTrigger {

	/** Any configuration. */
	ALWAYS {

		@Override
		public boolean matches(FleetConfiguration configuration) {
			return true;
		}

	},

	/**
	 * A queue whose jobs have attempts to spare: after a failure and a retry there is at
	 * least one more attempt.
	 */
	SPARE_ATTEMPTS {

		@Override
		public boolean matches(FleetConfiguration configuration) {
			return configuration.queues().stream().anyMatch(JobQueue::hasSpareAttempts);
		}

	},

	/** An urgent queue whose objective may be less than twice the run time of a job. */
	TIGHT_OBJECTIVES {

		@Override
		public boolean matches(FleetConfiguration configuration) {
			return configuration.queues().stream().anyMatch((queue) -> queue.urgent() && queue.hasTightObjective());
		}

	},

	/**
	 * Several customers with guarantees of which the largest is a multiple of the
	 * smallest, so that one customer can take most of the fleet from the others.
	 */
	UNEVEN_GUARANTEES {

		@Override
		public boolean matches(FleetConfiguration configuration) {
			LongSummaryStatistics guarantees = configuration.customers()
				.stream()
				.mapToLong(FleetCustomer::guaranteedAccelerators)
				.filter((accelerators) -> accelerators > 0)
				.summaryStatistics();
			return guarantees.getCount() > 1 && guarantees.getMax() >= MIN_UNEVEN_RATIO * guarantees.getMin();
		}

	};

	/** Ratio from which guarantees count as uneven. */
	private static final long MIN_UNEVEN_RATIO = 4;

	/**
	 * Whether a configuration calls for the feature.
	 * @param configuration the configuration in force
	 * @return whether the feature is active if it is enabled
	 */
	public abstract boolean matches(FleetConfiguration configuration);

}
