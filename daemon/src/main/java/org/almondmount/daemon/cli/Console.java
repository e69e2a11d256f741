package org.almondmount.daemon.cli;

import java.io.PrintStream;

/**
 * Where a command writes. Immutable.
 *
 * @param out results, for people or scripts
 * @param err refusals, faults and progress
 */
record Console(PrintStream out, PrintStream err) {

	private static final char FIRST_PRINTABLE = ' ';

	private static final char DELETE = 0x7f;

	private static final char LAST_CONTROL = 0x9f;

	/**
	 * Takes control characters out of a text that came over the network: they could move
	 * the cursor or colour the terminal and so show an operator what is not there.
	 * @param text the text
	 * @return the text with a question mark for each of them
	 */
	static String printable(String text) {
		StringBuilder clean = new StringBuilder(text.length());
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			boolean control = c < FIRST_PRINTABLE || (c >= DELETE && c <= LAST_CONTROL);
			clean.append(control ? '?' : c);
		}
		return clean.toString();
	}

}
