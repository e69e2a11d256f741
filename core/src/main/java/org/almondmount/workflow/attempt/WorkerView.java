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
	 * Whether a worker has recently shown that it completes what it starts.
	 * @param worker the worker
	 * @return whether it is proven
	 */
	boolean isProven(W worker);

	/**
	 * Whether workers could hold all tasks of the unit if nothing else ran there.
	 * @param workers the workers
	 * @return whether it makes sense to wait for their capacity
	 */
	boolean couldHold(List<W> workers);

	/**
	 * Whether workers have free capacity for all tasks of the unit.
	 * @param workers the workers
	 * @return whether the unit fits there now
	 */
	boolean hasRoom(List<W> workers);

}
