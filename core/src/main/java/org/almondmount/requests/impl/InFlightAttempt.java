package org.almondmount.requests.impl;

import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;

/**
 * One attempt that holds a slot of a target, whether or not anybody still waits for it.
 *
 * @param request the request
 * @param attempt the attempt's number
 * @param customer whose slot time it is
 * @param sentAt when it was sent
 * @param overdueAt when it has taken suspiciously long
 * @param expiresAt when it stops to count even if the target never says anything
 */
record InFlightAttempt(RequestId request, int attempt, CustomerId customer, long sentAt, long overdueAt,
		long expiresAt) {
}
