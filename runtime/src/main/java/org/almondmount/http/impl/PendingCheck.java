package org.almondmount.http.impl;

import java.util.function.Supplier;

import io.netty.handler.codec.http.FullHttpRequest;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.InstanceCheck;

/**
 * The check of the connection that is to carry a call.
 *
 * @param check the check
 * @param query creates its query as it is sent
 */
record PendingCheck(InstanceCheck check, Supplier<FullHttpRequest> query) {

	String instance() {
		return this.check.instance();
	}

	/**
	 * Returns the instance that answered the query.
	 * @param answer its answer
	 * @return the instance, or an empty text if the answer does not tell
	 */
	String readInstance(HttpAnswer answer) {
		return this.check.reader().apply(answer).orElse("");
	}

}
