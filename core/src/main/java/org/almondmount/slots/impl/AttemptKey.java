package org.almondmount.slots.impl;

import org.almondmount.model.RequestId;

/**
 * Identifies an attempt.
 *
 * @param request the request
 * @param attempt the attempt's number
 */
record AttemptKey(RequestId request, int attempt) {
}
