package org.almondmount.configuration;

import org.almondmount.model.Configuration;

/**
 * Events that the configuration manager handles.
 */
public sealed interface ConfigurationEvent {

	/**
	 * The configuration was read from the table; it is {@link Configuration#EMPTY} if the
	 * row does not exist.
	 */
	record RowRead(Configuration configuration) implements ConfigurationEvent {
	}

	/** The table did not answer. */
	record ReadFailed() implements ConfigurationEvent {
	}

	/** A peer sent its configuration, which the peer had accepted before. */
	record ReceivedFromPeer(Configuration configuration) implements ConfigurationEvent {
	}

	/** A peer announced the revision that it has in force. */
	record PeerRevisionReceived(long revision, String peer) implements ConfigurationEvent {
	}

	/** A regular tick. */
	record Tick() implements ConfigurationEvent {
	}

}
