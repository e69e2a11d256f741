package org.almondmount.daemon.cli;

import org.kohsuke.args4j.Option;

/**
 * One subcommand; args4j fills its fields.
 */
abstract class Command {

	@Option(name = "--help", help = true, usage = "show this help")
	private boolean help;

	final boolean wantsHelp() {
		return this.help;
	}

	/**
	 * What the command does, in one sentence.
	 * @return the sentence
	 */
	abstract String purpose();

	/**
	 * Does it.
	 * @param console where to write
	 * @return how it ended
	 */
	abstract ExitStatus run(Console console);

}
