package org.almondmount.standins.platform;

import java.util.function.Consumer;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;

/**
 * What one stand-in does with calls. Called on the process's only I/O thread, so that
 * roles need no locks.
 */
@FunctionalInterface
public interface Role {

	/**
	 * Takes one call; it takes effect at once.
	 * @param call the call
	 * @param answer where the answer goes, now or later
	 */
	void take(HttpCall call, Consumer<HttpAnswer> answer);

}
