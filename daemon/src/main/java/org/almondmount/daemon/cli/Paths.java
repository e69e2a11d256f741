package org.almondmount.daemon.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Parts of paths from words of the command line.
 */
final class Paths {

	private Paths() {
	}

	static String segment(String word) {
		return URLEncoder.encode(word, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
