package org.almondmount.http;

/**
 * Thrown when a call was not sent because its connection leads to another instance of the
 * server than the call is meant for.
 */
public class OtherInstanceFailure extends HttpFailure {

	private final transient HttpAnswer answer;

	public OtherInstanceFailure(String server, HttpAnswer answer) {
		super(server, "another instance answered with status " + answer.status()
				+ "; address the call to the instance that runs now", false);
		this.answer = answer;
	}

	/**
	 * Returns the answer to the query of the {@link InstanceCheck}.
	 * @return the answer of the other instance
	 */
	public HttpAnswer answer() {
		return this.answer;
	}

}
