package org.almondmount.model;

/**
 * A guarantee of a number of gangs of one shape that can run at the same time.
 *
 * @param gangs the number of gangs, at least 1
 * @param shape the shape of each gang
 */
public record GuaranteedShape(int gangs, GangShape shape) {

	public GuaranteedShape {
		if (gangs < 1) {
			throw new InvalidValueException("gangs", "is " + gangs + "; give 1 or more, or leave the shape out");
		}
	}

}
