package org.almondmount.configuration;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.Configuration;

/**
 * Keeps the configuration that is in force in one process. Deterministic; not
 * thread-safe.
 * <p>
 * A table that was slow, a peer that was frozen or a stale entry that came back can each
 * deliver an old configuration after a new one, and operators would see their change
 * revert. Taking a configuration only when its revision is higher than the one in force
 * is enough, because a revision is given out once, by a fenced commit.
 */
public final class ConfigurationManager {

	private static final long PEER_REQUEST_INTERVAL_MILLIS = 200;

	private final long pollIntervalMillis;

	private Optional<Configuration> current = Optional.empty();

	private boolean reading;

	private long nextReadMillis = Long.MIN_VALUE;

	private long nextPeerRequestMillis = Long.MIN_VALUE;

	/**
	 * Makes a keeper that knows no configuration.
	 * @param pollIntervalMillis interval at which the row is read
	 */
	public ConfigurationManager(long pollIntervalMillis) {
		this.pollIntervalMillis = pollIntervalMillis;
	}

	/**
	 * The configuration in force.
	 * @return the configuration, or empty before the first is known
	 */
	public Optional<Configuration> current() {
		return this.current;
	}

	/**
	 * The revision in force.
	 * @return the revision, 0 also while none is known
	 */
	public long revision() {
		return this.current.map(Configuration::revision).orElse(0L);
	}

	/**
	 * Takes one event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return what is to be done, in order
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
