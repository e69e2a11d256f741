package org.almondmount.workflow;

import org.almondmount.model.InvalidValueException;

/**
 * The sizes of requests that callers may send, as declared by operators.
 *
 * @param maxHeaderBytes the maximum total size of the headers of a request
 * @param maxBodyBytes the maximum size of a body
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes) {

	public RequestLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
			throw new InvalidValueException("limits",
					"are " + maxHeaderBytes + " and " + maxBodyBytes + " bytes; give at least 1 each");
		}
	}

}
