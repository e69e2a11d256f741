/**
 * Decisions about requests at an entry: admission, routing, limits, retries and accurate
 * outcomes, as a deterministic state machine without I/O.
 */
package org.almondmount.requests;
