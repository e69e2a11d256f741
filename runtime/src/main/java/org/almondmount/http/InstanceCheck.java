package org.almondmount.http;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Tells whether a connection leads to the instance of a server that a call is meant for.
 * A server that is restarted at the same address is another instance. Its connections end
 * with it, so a connection that has once led to an instance never leads to another one.
 *
 * @param instance the expected instance
 * @param query creates a call without effect, which is sent first on each connection
 * @param reader returns the instance that gave an answer to the query, or empty if the
 * answer does not tell
 */
public record InstanceCheck(String instance, Supplier<HttpCall> query, Function<HttpAnswer, Optional<String>> reader) {
}
