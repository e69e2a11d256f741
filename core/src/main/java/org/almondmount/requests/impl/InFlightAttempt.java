package org.almondmount.requests.impl;

import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;

/**
 * An attempt that occupies a slot of a target, even if its result is no longer needed.
 *
 * @param request the request
 * @param attempt the attempt's number
 * @param customer the customer to which the slot time is charged
 * @param sentAt the time at which it was sent
 * @param overdueAt the time after which it is overdue
 * @param expiresAt the time at which its slot is released even without an answer from the
 * target
 */
record InFlightAttempt(RequestId request, int attempt, CustomerId customer, long sentAt, long overdueAt,
		long expiresAt) {
}
