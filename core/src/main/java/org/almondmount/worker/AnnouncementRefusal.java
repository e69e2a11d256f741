package org.almondmount.worker;

/**
 * Why a target does not use an announcement.
 */
public enum AnnouncementRefusal {

	/** The worker is not the announced incarnation. */
	NOT_THIS_WORKER,

	/** The worker did not answer in time. */
	NOT_CONFIRMED,

	/** Too many announcements of other incarnations wait for the worker's answer. */
	TOO_MANY

}
