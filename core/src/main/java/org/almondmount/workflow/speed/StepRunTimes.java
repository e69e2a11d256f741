package org.almondmount.workflow.speed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The run times of the tasks of one step, which are alike, on different workers. Mutable;
 * confined to its owner.
 * <p>
 * Callers' estimates are often wrong, and run times of different jobs differ by more than
 * those of workers. Tasks of one step differ by a small part of their run time, so what
 * sets them apart is mostly their workers.
 */
public final class StepRunTimes {

	/** Number of workers from which the median of their run times is a reference. */
	private static final int MIN_REFERENCES = 5;

	/** Number of run times that are kept as reference. */
	private static final int MAX_REFERENCES = 32;

	/** Workers that have been observed; each counts once, whatever it runs. */
	private final Set<WorkerSpeed> observed = new HashSet<>();

	private final List<Observation> pending = new ArrayList<>(MIN_REFERENCES);

	/** Logarithms of the run times that workers of the usual speed would have taken. */
	private final List<Double> references = new ArrayList<>();

	/**
	 * Records the run time of the first task on a worker and learns the speed of its
	 * worker from it, as soon as there are enough others to compare it with.
	 * @param worker the speed of its worker
	 * @param runMillis the run time, in milliseconds
	 * @return whether the speed of any worker has changed
	 */
	public boolean record(WorkerSpeed worker, long runMillis) {
		if (runMillis <= 0 || !this.observed.add(worker)) {
			return false;
		}
		double logMillis = Math.log(runMillis);
		if (this.references.size() < MAX_REFERENCES) {
			this.references.add(logMillis - worker.slowness());
		}
		this.pending.add(new Observation(worker, logMillis));
		if (this.references.size() < MIN_REFERENCES) {
			return false;
		}
		double usual = median();
		this.pending.forEach((observation) -> observation.worker().record(observation.logMillis() - usual));
		this.pending.clear();
		return true;
	}

	private double median() {
		List<Double> ascending = this.references.stream().sorted().toList();
		int middle = ascending.size() / 2;
		boolean odd = ascending.size() % 2 == 1;
		return odd ? ascending.get(middle) : (ascending.get(middle - 1) + ascending.get(middle)) / 2;
	}

	/**
	 * A run time that waits for others to be compared with.
	 */
	private record Observation(WorkerSpeed worker, double logMillis) {
	}

}
