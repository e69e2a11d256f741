package org.almondmount.jobs;

/**
 * A policy of the job scheduler that can be disabled individually, so that its benefit
 * can be measured. Guarantees, all-or-nothing gangs, zones and fencing are always
 * enforced and can't be disabled.
 */
public enum JobFeature {

	/** Orders customers by weighted dominant share; without it, by submission. */
	FAIR_SHARE,

	/** Jobs that have waited long are unblocked first and get reservations first. */
	AGING,

	/** A job that fits may start before an older job that does not. */
	BACKFILL,

	/**
	 * Reserves workers for a large gang that has waited; others may only backfill them.
	 */
	RESERVATION,

	/** Places small work on workers and racks that are already partly used. */
	PACKING,

	/** Borrowers avoid guarantee reservations, especially right after a reclaim. */
	SPOT_KEEPING,

	/** Borrowers are preempted so that other customers get their fair share. */
	PREEMPTION,

	/** Small work is moved so that a waiting gang gets adjacent capacity. */
	DEFRAGMENTATION,

	/** Learns run times from ended jobs; without it, declared run times are used. */
	LEARNED_RUN_TIMES,

	/** Quarantines workers on which tasks fail. */
	QUARANTINE

}
