package org.almondmount.http;

import java.util.Map;

/**
 * A complete HTTP request.
 *
 * @param method the method
 * @param path the path with its query, still percent-encoded
 * @param headers headers by lower-case name; the values of repeated headers are joined by
 * a comma
 * @param body the complete body, empty if there is none
 */
public record HttpCall(String method, String path, Map<String, String> headers, byte[] body) {

}
