package org.almondmount.http;

import java.util.Optional;

/**
 * What a handler knows about a call before its body has been received.
 *
 * @param authenticated whether the call carries a valid key
 * @param answer the answer if it does not depend on the body, such as a refusal; the body
 * is discarded then
 */
public record HeadCheck(boolean authenticated, Optional<HttpAnswer> answer) {

	/** Nothing is known before the body has been received. */
	public static final HeadCheck UNKNOWN = new HeadCheck(false, Optional.empty());

	/** The call carries a valid key and needs its body. */
	public static final HeadCheck AUTHENTICATED = new HeadCheck(true, Optional.empty());

	/**
	 * Creates the check of a call that is answered without its body.
	 * @param answer the answer
	 * @return the check
	 */
	public static HeadCheck answered(HttpAnswer answer) {
		return new HeadCheck(false, Optional.of(answer));
	}

}
