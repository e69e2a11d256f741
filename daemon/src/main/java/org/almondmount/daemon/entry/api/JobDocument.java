package org.almondmount.daemon.entry.api;

import java.time.Duration;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.DurationText;
import org.almondmount.model.CustomerId;
import org.almondmount.model.InvalidValueException;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Urgency;

/**
 * A job as its customer sends it. Immutable.
 *
 * @param jobClass the customer's name for jobs that resemble each other; {@code default}
 * @param members number of tasks; 1
 * @param accelerators for each task; 1
 * @param cores for each task; 0
 * @param memory for each task, such as {@code 16GiB}; none
 * @param adjacency {@code worker}, {@code rack}, {@code zone} or {@code any}; any
 * @param urgency {@code urgent} or {@code normal}; normal
 * @param repeatable whether it may be started again after it may have run; false
 * @param runTime what the customer expects, such as {@code 20m}; required
 * @param checkpointEvery the time between checkpoints; none if it cannot checkpoint
 * @param program what the worker is asked to run; empty
 */
public record JobDocument(@JsonProperty("class") String jobClass, Integer members, Integer accelerators, Integer cores,
		JsonNode memory, String adjacency, String urgency, Boolean repeatable, String runTime, String checkpointEvery,
		String program) {

	/**
	 * The job that the document describes.
	 * @param customer its owner
	 * @return the job
	 * @throws DocumentException naming the field that is wrong
	 */
	public JobSpec spec(CustomerId customer) {
		if (this.runTime == null) {
			throw new DocumentException("$.runTime", "is missing; give an estimate, such as 10m");
		}
		Duration checkpoints = (this.checkpointEvery != null)
				? DurationText.read("$.checkpointEvery", this.checkpointEvery) : Duration.ZERO;
		try {
			return new JobSpec(customer, (this.jobClass != null) ? this.jobClass : "default",
					ShapeFields.shape("$", this.members, this.accelerators, this.cores, this.memory, this.adjacency),
					ShapeFields.word("$.urgency", Urgency.class, this.urgency, Urgency.NORMAL),
					Boolean.TRUE.equals(this.repeatable), DurationText.read("$.runTime", this.runTime), checkpoints,
					(this.program != null) ? this.program : "");
		}
		catch (InvalidValueException ex) {
			throw new DocumentException("$", ex.getMessage());
		}
	}

}
