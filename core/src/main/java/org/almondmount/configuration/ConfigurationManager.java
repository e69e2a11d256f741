package org.almondmount.configuration;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.Configuration;

/**
 * Holds the configuration in force of a process. Deterministic; not thread-safe.
 * <p>
 * A slow table, a suspended peer or a stale entry that resumes can each deliver an old
 * configuration after a new one, which would revert an operator's change. It is
 * sufficient to accept only configurations with a higher revision than the one in force,
 * because each revision is assigned once, by a fenced commit.
 */
public final class ConfigurationManager {

	private static final long PEER_REQUEST_INTERVAL_MILLIS = 200;

	private final long pollIntervalMillis;

	private Optional<Configuration> current = Optional.empty();

	private boolean reading;

	private long nextReadMillis = Long.MIN_VALUE;

	private long nextPeerRequestMillis = Long.MIN_VALUE;

	/**
	 * Creates a manager without a configuration.
	 * @param pollIntervalMillis interval at which the row is read
	 */
	public ConfigurationManager(long pollIntervalMillis) {
		this.pollIntervalMillis = pollIntervalMillis;
	}

	/**
	 * The configuration in force.
	 * @return the configuration, or empty before the first one is accepted
	 */
	public Optional<Configuration> current() {
		return this.current;
	}

	/**
	 * The revision in force.
	 * @return the revision; 0 also before the first configuration is accepted
	 */
	public long revision() {
		return this.current.map(Configuration::revision).orElse(0L);
	}

	/**
	 * Handles an event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return the commands to execute, in order
	 */
	public List<ConfigurationCommand> handle(long nowMillis, ConfigurationEvent event) {
		if (event instanceof ConfigurationEvent.RowRead read) {
			this.reading = false;
			return accept(read.configuration());
		}
		if (event instanceof ConfigurationEvent.ReceivedFromPeer pushed) {
			return accept(pushed.configuration());
		}
		if (event instanceof ConfigurationEvent.ReadFailed) {
			this.reading = false;
			return List.of();
		}
		if (event instanceof ConfigurationEvent.PeerRevisionReceived seen) {
			return onPeerRevision(nowMillis, seen);
		}
		return poll(nowMillis);
	}

	private List<ConfigurationCommand> accept(Configuration configuration) {
		if (this.current.isPresent() && configuration.revision() <= revision()) {
			return List.of();
		}
		this.current = Optional.of(configuration);
		return List.of(new ConfigurationCommand.Apply(configuration));
	}

	private List<ConfigurationCommand> onPeerRevision(long now, ConfigurationEvent.PeerRevisionReceived event) {
		if (event.revision() <= revision() || now < this.nextPeerRequestMillis) {
			return List.of();
		}
		this.nextPeerRequestMillis = now + PEER_REQUEST_INTERVAL_MILLIS;
		return List.of(new ConfigurationCommand.RequestFromPeer(event.peer(), revision()));
	}

	private List<ConfigurationCommand> poll(long now) {
		if (this.reading || now < this.nextReadMillis) {
			return List.of();
		}
		this.reading = true;
		this.nextReadMillis = now + this.pollIntervalMillis;
		return List.of(new ConfigurationCommand.ReadRow());
	}

}
