package org.almondmount.workflow.attempt;

import java.util.List;

/**
 * What the decision on a retry needs to know of workers.
 *
 * @param <W> the type of a worker
 */
public interface WorkerView<W> {

	/**
	 * Returns the identifier of a worker, which is the same after a restart.
	 * @param worker the worker
	 * @return the identifier
	 */
	String name(W worker);

	/**
	 * Returns the workers that have recently shown that they complete what they start.
	 * @return the proven ones of all workers that may run a first attempt of the unit
	 */
	List<W> proven();

	/**
	 * Whether workers could hold all tasks of the unit if nothing else ran there.
	 * @param workers the workers
	 * @return whether it makes sense to wait for their capacity
	 */
	boolean couldHold(List<W> workers);

	/**
	 * Whether the unit can be placed on workers now.
	 * @param workers the workers
	 * @return whether they have room for all its tasks that is not kept for other units
	 */
	boolean hasRoom(List<W> workers);

}
