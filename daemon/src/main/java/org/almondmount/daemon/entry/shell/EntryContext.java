package org.almondmount.daemon.entry.shell;

import java.util.concurrent.ScheduledExecutorService;

import org.almondmount.model.EntryId;
import org.almondmount.services.TableService;
import org.almondmount.settings.EntrySettings;
import org.almondmount.telemetry.Telemetry;

/**
 * What every part of an entry works with. Immutable; its members are thread-safe.
 *
 * @param self this run of this entry
 * @param settings the settings
 * @param clock the clock
 * @param timer keeps time for alarms
 * @param telemetry the metrics
 * @param table the platform's table
 */
public record EntryContext(EntryId self, EntrySettings settings, MonotonicClock clock, ScheduledExecutorService timer,
		Telemetry telemetry, TableService table) {

	/**
	 * The address by which other processes reach this entry.
	 * @return {@code ip:port}
	 */
	public String peerAddress() {
		return this.settings.advertise().getAddress().getHostAddress() + ":" + this.settings.advertise().getPort();
	}

}
