package org.almondmount.configuration;

import org.almondmount.model.Configuration;

/**
 * Commands from the configuration manager to its driver.
 */
public sealed interface ConfigurationCommand {

	/**
	 * Put this configuration in force and propagate it to every component and every peer.
	 */
	record Apply(Configuration configuration) implements ConfigurationCommand {
	}

	/**
	 * Read the configuration row; report the result with
	 * {@link ConfigurationEvent.RowRead} or {@link ConfigurationEvent.ReadFailed}.
	 */
	record ReadRow() implements ConfigurationCommand {
	}

	/** Request the configuration of a peer that has a higher revision. */
	record RequestFromPeer(String peer, long ownRevision) implements ConfigurationCommand {
	}

}
