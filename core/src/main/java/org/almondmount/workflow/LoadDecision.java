package org.almondmount.workflow;

/**
 * The decisions under load or failure that are counted for administrators.
 */
public enum LoadDecision {

	/** A retry was kept off workers on which its job had failed before. */
	FAILED_WORKER_AVOIDED,

	/** The last attempt of a job waited for workers that are proven sound. */
	LAST_ATTEMPT_HELD_BACK,

	/** A gang did not wait any longer for the one rack in which it runs fast. */
	GANG_PLACED_ACROSS_RACKS,

	/** A worker was paused because a run failed there right after its start. */
	WORKER_BLAMED,

	/**
	 * A job waited behind those of customers that use less of their share; once a second.
	 */
	CUSTOMER_OVER_SHARE

}
