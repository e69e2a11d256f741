package org.almondmount.fleet;

/**
 * What became of a job that was handed in.
 */
public enum Submission {

	/** It is kept and will run. */
	ACCEPTED,

	/** It was not kept and never will be. */
	REFUSED,

	/** Nobody can tell yet; handing the same job in again settles it. */
	UNKNOWN

}
