package org.almondmount.workflow.preemption;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The groups to stop for a unit. Immutable.
 *
 * @param groups their indexes in the request, ascending
 * @param loss what is lost with them, in core-seconds
 */
public record VictimSet(SortedSet<Integer> groups, double loss) {

	public VictimSet {
		groups = Collections.unmodifiableSortedSet(new TreeSet<>(groups));
	}

}
