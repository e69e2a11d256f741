package org.almondmount.configuration;

import org.almondmount.model.Configuration;

/**
 * Everything that the configuration keeper asks its driver to do.
 */
public sealed interface ConfigurationCommand {

	/** This configuration holds here from now on; tell every part and every peer. */
	record Apply(Configuration configuration) implements ConfigurationCommand {
	}

	/**
	 * Read the row; answer with {@link ConfigurationEvent.RowRead} or
	 * {@link ConfigurationEvent.ReadFailed}.
	 */
	record ReadRow() implements ConfigurationCommand {
	}

	/** Ask a peer for its configuration, which is newer. */
	record RequestFromPeer(String peer, long ownRevision) implements ConfigurationCommand {
	}

}
