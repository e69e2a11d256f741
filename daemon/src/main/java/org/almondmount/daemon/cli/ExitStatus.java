package org.almondmount.daemon.cli;

/**
 * How the program ends.
 */
enum ExitStatus {

	/** What was asked for is done. */
	DONE(0),

	/** It was refused or failed. */
	FAILED(1),

	/** The command line is wrong. */
	WRONG_USAGE(2);

	private final int code;

	ExitStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
