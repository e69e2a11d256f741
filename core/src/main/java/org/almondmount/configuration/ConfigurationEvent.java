package org.almondmount.configuration;

import org.almondmount.model.Configuration;

/**
 * Everything that the configuration keeper is told.
 */
public sealed interface ConfigurationEvent {

	/**
	 * The configuration as the table had it; {@link Configuration#EMPTY} if there is no
	 * row.
	 */
	record RowRead(Configuration configuration) implements ConfigurationEvent {
	}

	/** The table did not answer. */
	record ReadFailed() implements ConfigurationEvent {
	}

	/** A peer sent its configuration, which was accepted before it was sent. */
	record ReceivedFromPeer(Configuration configuration) implements ConfigurationEvent {
	}

	/** A peer has this revision in force. */
	record PeerRevisionReceived(long revision, String peer) implements ConfigurationEvent {
	}

	/** A regular tick. */
	record Tick() implements ConfigurationEvent {
	}

}
