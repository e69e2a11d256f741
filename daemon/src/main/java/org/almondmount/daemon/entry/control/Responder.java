package org.almondmount.daemon.entry.control;

import org.almondmount.http.HttpAnswer;

/**
 * The place for a call's answer; the first answer counts.
 */
@FunctionalInterface
interface Responder {

	void answer(HttpAnswer answer);

}
