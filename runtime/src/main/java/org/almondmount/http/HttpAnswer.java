package org.almondmount.http;

import java.util.Map;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers headers by lower-case name
 * @param body the complete body
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {

}
