package org.almondmount.workflow;

import java.util.List;

import org.almondmount.model.InvalidValueException;

/**
 * A job as its caller handed it in. Immutable.
 *
 * @param id chosen by the caller; the same identifier is the same job
 * @param queue the name of its queue
 * @param customer whose job it is, or empty where the queue takes anonymous ones
 * @param program what each task is told to run
 * @param steps its steps; {@code after} refers to the numbers of earlier ones
 * @param schedule when its occurrences are due
 * @param acceptedAtMillis when it was accepted, in milliseconds since 1970
 */
public record Workflow(String id, String queue, String customer, String program, List<Step> steps, Schedule schedule,
		long acceptedAtMillis) {

	/**
	 * Tasks of one job, over all occurrences. Its progress is kept as one row of 64 KB,
	 * which a job of so many tasks fills, compressed, to about nine tenths.
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
			throw new InvalidValueException("steps",
					"have " + tasks + " tasks over all occurrences; give at most " + MAX_TASKS + " and several jobs");
		}
	}

	private static void requireEarlierSteps(int number, List<Integer> dependencies) {
		for (int dependency : dependencies) {
			if (dependency < 0 || dependency >= number) {
				throw new InvalidValueException("steps." + number + ".after",
						"names step " + dependency + "; name only steps that stand before it");
			}
		}
	}

	/**
	 * When the occurrences of a job are due.
	 *
	 * @param firstDueMillis when the first one is due, in milliseconds since 1970
	 * @param intervalMillis time between two
	 * @param repetitions how many there are, 0 for a job that runs once and at once
	 */
	public record Schedule(long firstDueMillis, long intervalMillis, int repetitions) {

		/** Once and at once. */
		public static final Schedule ONCE = new Schedule(0, 0, 0);

		public boolean hasDueTimes() {
			return this.repetitions > 0;
		}

		public int occurrences() {
			return Math.max(1, this.repetitions);
		}

		/**
		 * When an occurrence is due.
		 * @param occurrence its number, from 0
		 * @return milliseconds since 1970, 0 for a job without times
		 */
		public long dueAtMillis(int occurrence) {
			return hasDueTimes() ? this.firstDueMillis + occurrence * this.intervalMillis : 0;
		}

	}

}
