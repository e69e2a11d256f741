package org.almondmount.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.FleetConfiguration;

/**
 * Reads the configuration that operators declare, in the format of a platform. Stateless.
 */
public interface DeclarationReader {

	/**
	 * Returns the table in which operators declare the configuration.
	 * @return the table's name
	 */
	String table();

	/**
	 * Reads the queues and customers.
	 * @param rows the rows of the table by their keys
	 * @return the configuration, or empty if none is declared yet
	 * @throws org.almondmount.model.InvalidValueException if the rows can't be read
	 */
	Optional<FleetConfiguration> configuration(Map<String, String> rows);

	/**
	 * Reads the zones that are out of service.
	 * @param rows the rows of the table by their keys
	 * @return the zones
	 */
	Set<String> zonesOut(Map<String, String> rows);

}
