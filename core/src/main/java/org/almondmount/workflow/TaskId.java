package org.almondmount.workflow;

import org.almondmount.model.InvalidValueException;

/**
 * Identifies a task of a job. Its text form is {@code job.occurrence.step.index}.
 *
 * @param job the job's identifier, without dots
 * @param occurrence the number of the job's occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task within its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

	private static final int PART_COUNT = 4;

	/**
	 * Parses the text form.
	 * @param text the text form of a task identifier
	 * @return the task identifier
	 * @throws InvalidValueException if the text is not a valid task identifier
	 */
	public static TaskId parse(String text) {
		String[] parts = text.split("\\.", -1);
		if (parts.length != PART_COUNT || parts[0].isEmpty()) {
			throw invalid(text);
		}
		try {
			return new TaskId(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]),
					Integer.parseInt(parts[3]));
		}
		catch (NumberFormatException ex) {
			throw invalid(text);
		}
	}

	@Override
	public String toString() {
		return this.job + "." + this.occurrence + "." + this.step + "." + this.index;
	}

	private static InvalidValueException invalid(String text) {
		return new InvalidValueException("task", "is '" + text + "'; give job.occurrence.step.index");
	}

}
