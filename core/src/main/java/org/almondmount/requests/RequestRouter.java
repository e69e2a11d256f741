package org.almondmount.requests;

import java.util.List;

import org.almondmount.model.RequestId;

/**
 * Decides about admission, routing and retries of requests. Stable API for drivers
 * outside this module. Deterministic; not thread-safe: it is owned by a single duty.
 */
public interface RequestRouter {

	/**
	 * Handles an event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return the commands to execute, in order
	 */
	List<RequestCommand> handle(long nowMillis, RequestEvent event);

	/**
	 * Number of requests that have not completed yet.
	 * @return the number of requests
	 */
	int outstandingCount();

	/**
	 * Explains the current state or the outcome of a request, oldest entry first.
	 * @param request its identifier
	 * @return the explanations
	 */
	List<String> explain(RequestId request);

}
