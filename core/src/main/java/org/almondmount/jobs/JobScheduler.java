package org.almondmount.jobs;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.JobId;
import org.almondmount.plan.Intent;
import org.almondmount.plan.PlanEffects;

/**
 * The job scheduler, a stable API for external drivers.
 * <p>
 * A driver passes each event with its time and executes the returned commands in order.
 * Times never decrease. Implementations are deterministic: the same events at the same
 * times give the same commands. Not thread-safe; a single duty owns each instance.
 */
public interface JobScheduler {

	/**
	 * Handles an event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event the event
	 * @return the commands to execute, in order
	 */
	List<JobCommand> handle(long nowMillis, JobEvent event);

	/**
	 * Computes the effects of an intent without applying it.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param intent the intent, which is applied to the last configuration received
	 * @return the effects of the intent
	 */
	PlanEffects preview(long nowMillis, Intent intent);

	/**
	 * Returns the current state of a job.
	 * @param job the identifier of the job
	 * @return the job, empty if it is unknown
	 */
	Optional<JobView> job(JobId job);

	/**
	 * Returns all known jobs in the order of submission.
	 * @return the jobs
	 */
	List<JobView> jobs();

	/**
	 * Returns all known workers by name.
	 * @return the workers
	 */
	List<WorkerView> workers();

	/**
	 * Explains the current state of a job in sentences, newest last.
	 * @param job the identifier of the job
	 * @return the sentences, empty if the job is unknown
	 */
	List<String> explain(JobId job);

}
