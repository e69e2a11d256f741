package org.almondmount.workflow.health;

/**
 * A sum whose terms lose weight with their age. Mutable.
 */
final class DecayingSum {

	private final HalfLife halfLife;

	private double value;

	private long updatedMillis;

	DecayingSum(HalfLife halfLife) {
		this.halfLife = halfLife;
	}

	void add(long now, double amount) {
		this.value = value(now) + amount;
		this.updatedMillis = now;
	}

	double value(long now) {
		return (this.value > 0) ? this.value * this.halfLife.remaining(now - this.updatedMillis) : 0;
	}

}
