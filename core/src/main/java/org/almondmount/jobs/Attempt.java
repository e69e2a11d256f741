package org.almondmount.jobs;

import org.almondmount.model.JobId;

/**
 * An attempt to run a job. Only reports of the current attempt are accepted; a higher
 * attempt number fences off all lower ones.
 *
 * @param job the job
 * @param number the attempt number, starting at 1 and incremented with each placement
 */
public record Attempt(JobId job, int number) {

}
