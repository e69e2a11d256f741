package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.InvalidValueException;

/**
 * A job as submitted by its caller. Immutable.
 *
 * @param id the identifier chosen by the caller; a job with the same identifier is the
 * same job
 * @param queue the name of the queue
 * @param customer the customer that owns the job, or empty for an anonymous job
 * @param program the program that each task runs
 * @param steps the steps; a step may only depend on earlier ones
 * @param schedule when the occurrences of the job are due
 * @param acceptedAtMillis when the job was accepted, in milliseconds since 1970
 * @param declaration the declaration of the queue under which the job was accepted; empty
 * if the version that accepted it did not store one
 */
public record Workflow(String id, String queue, String customer, String program, List<Step> steps, Schedule schedule,
		long acceptedAtMillis, Optional<QueueDeclaration> declaration) {

	/**
	 * The maximum number of tasks of one job over all occurrences. The progress of a job
	 * is stored in one row of 64 KB, which this many tasks fill to about nine tenths
	 * after compression.
	 */
	public static final int MAX_TASKS = 2_500;

	public Workflow {
		steps = List.copyOf(steps);
		if (steps.isEmpty()) {
			throw new InvalidValueException("steps", "is empty; give at least one step");
		}
		for (int number = 0; number < steps.size(); number++) {
			requireEarlierSteps(number, steps.get(number).dependencies());
		}
		long tasks = steps.stream().mapToLong(Step::taskCount).sum() * schedule.occurrences();
		if (tasks > MAX_TASKS) {
			throw new InvalidValueException("steps", "have " + tasks + " tasks over all occurrences; give at most "
					+ MAX_TASKS + " per job and split the work into several jobs");
		}
	}

	public Workflow(String id, String queue, String customer, String program, List<Step> steps, Schedule schedule,
			long acceptedAtMillis) {
		this(id, queue, customer, program, steps, schedule, acceptedAtMillis, Optional.empty());
	}

	private static void requireEarlierSteps(int number, List<Integer> dependencies) {
		for (int dependency : dependencies) {
			if (dependency < 0 || dependency >= number) {
				throw new InvalidValueException("steps." + number + ".after",
						"refers to step " + dependency + "; refer only to earlier steps");
			}
		}
	}

	/**
	 * The due times of a job's occurrences.
	 *
	 * @param firstDueMillis when the first occurrence is due, in milliseconds since 1970
	 * @param intervalMillis the time between two occurrences
	 * @param repetitions the number of occurrences, 0 for a job that runs once and
	 * immediately
	 */
	public record Schedule(long firstDueMillis, long intervalMillis, int repetitions) {

		/** Runs the job once and immediately. */
		public static final Schedule ONCE = new Schedule(0, 0, 0);

		public boolean hasDueTimes() {
			return this.repetitions > 0;
		}

		public int occurrences() {
			return Math.max(1, this.repetitions);
		}

		/**
		 * Returns when an occurrence is due.
		 * @param occurrence the number of the occurrence, from 0
		 * @return milliseconds since 1970, 0 for a job without due times
		 */
		public long dueAtMillis(int occurrence) {
			return hasDueTimes() ? this.firstDueMillis + occurrence * this.intervalMillis : 0;
		}

	}

}
