package org.almondmount.daemon.target;

import java.util.concurrent.CompletionException;

/**
 * What futures fail with.
 */
final class Failures {

	private Failures() {
	}

	static Throwable cause(Throwable failure) {
		boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
		return wrapped ? failure.getCause() : failure;
	}

}
