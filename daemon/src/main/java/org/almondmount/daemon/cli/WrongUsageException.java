package org.almondmount.daemon.cli;

/**
 * The command line is wrong in a way that only the command itself can tell.
 */
final class WrongUsageException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	WrongUsageException(String message) {
		super(message);
	}

}
