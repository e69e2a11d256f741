package org.almondmount.workflow.health;

/**
 * An exponential decay.
 *
 * @param millis the time in milliseconds after which half is left
 */
record HalfLife(double millis) {

	double remaining(long ageMillis) {
		return Math.pow(0.5, Math.max(0, ageMillis) / this.millis);
	}

}
