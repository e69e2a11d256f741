package org.almondmount.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.FleetConfiguration;

/**
 * Reads what operators declare, as a platform writes it. Stateless.
 */
public interface DeclarationReader {

	/**
	 * The table in which operators declare it.
	 * @return the table's name
	 */
	String table();

	/**
	 * Queues and customers.
	 * @param rows the rows of the table by their keys
	 * @return what they declare, or empty where nothing is declared yet
	 * @throws org.almondmount.model.InvalidValueException where it can't be read
	 */
	Optional<FleetConfiguration> configuration(Map<String, String> rows);

	/**
	 * The zones that are out of service.
	 * @param rows the rows of the table by their keys
	 * @return the zones
	 */
	Set<String> zonesOut(Map<String, String> rows);

}
