package org.almondmount.requests;

import java.util.List;

import org.almondmount.model.RequestId;

/**
 * The entrance to the request decisions, stable for outside drivers. Deterministic; not
 * thread-safe: one duty owns it.
 */
public interface RequestRouter {

	/**
	 * Takes one event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	List<RequestCommand> handle(long nowMillis, RequestEvent event);

	/**
	 * Requests that have not yet had their ending.
	 * @return a count
	 */
	int outstandingCount();

	/**
	 * Why the request stands where it does or ended as it did, newest last.
	 * @param request its identifier
	 * @return the sentences
	 */
	List<String> explain(RequestId request);

}
