package org.almondmount.daemon.cli;

import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;

/**
 * A command that shows one listing.
 */
abstract class ListCommand extends ServerCommand {

	/**
	 * The listing's path.
	 * @return the path
	 */
	abstract String path();

	@Override
	final ExitStatus run(Console console, NettyHttpClient client) {
		HttpAnswer answer = send(console, client, "GET", path(), new byte[0], Map.of());
		return (answer != null) ? show(console, answer) : ExitStatus.FAILED;
	}

	/**
	 * The system at a glance.
	 */
	public static final class Status extends ListCommand {

		@Override
		String path() {
			return "/v1/status";
		}

		@Override
		String purpose() {
			return "Shows the system at a glance.";
		}

	}

	/**
	 * Customers.
	 */
	public static final class Customers extends ListCommand {

		@Override
		String path() {
			return "/v1/customers";
		}

		@Override
		String purpose() {
			return "Lists customers with their weights and guarantees.";
		}

	}

	/**
	 * Availability zones.
	 */
	public static final class Zones extends ListCommand {

		@Override
		String path() {
			return "/v1/zones";
		}

		@Override
		String purpose() {
			return "Lists availability zones and whether they are in service.";
		}

	}

	/**
	 * Workers.
	 */
	public static final class Workers extends ListCommand {

		@Override
		String path() {
			return "/v1/workers";
		}

		@Override
		String purpose() {
			return "Lists workers with what they have and what is free.";
		}

	}

	/**
	 * Jobs.
	 */
	public static final class Jobs extends ListCommand {

		@Override
		String path() {
			return "/v1/jobs";
		}

		@Override
		String purpose() {
			return "Lists jobs; with a customer's token only its own.";
		}

	}

	/**
	 * History.
	 */
	public static final class History extends ListCommand {

		@Override
		String path() {
			return "/v1/history";
		}

		@Override
		String purpose() {
			return "Tells what was changed and what the system did.";
		}

	}

}
