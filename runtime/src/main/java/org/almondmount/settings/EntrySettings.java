package org.almondmount.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

import org.almondmount.http.HttpLimits;
import org.almondmount.model.CustomerId;
import org.almondmount.model.ZoneId;
import org.almondmount.wire.PeerSettings;

/**
 * The validated settings of an entry process. Immutable.
 *
 * @param name the VM's name; the process adds a new suffix at each start
 * @param region the region, which is the scheduler's cell
 * @param zone the availability zone of the VM
 * @param http listen address for callers
 * @param peers listen address for other processes
 * @param advertise the address at which other processes reach {@code peers}; the same as
 * {@code peers} unless, for example, network address translation is in between
 * @param table address of the platform's table service
 * @param objects address of the platform's object store
 * @param peer settings of connections between processes
 * @param limits limits on connections and requests of callers
 * @param customerTokens customers by caller token
 * @param operatorTokens operator names by token
 * @param timing intervals and timeouts
 */
public record EntrySettings(String name, String region, ZoneId zone, InetSocketAddress http, InetSocketAddress peers,
		InetSocketAddress advertise, InetSocketAddress table, InetSocketAddress objects, PeerSettings peer,
		HttpLimits limits, Map<String, CustomerId> customerTokens, Map<String, String> operatorTokens, Timing timing) {

	/**
	 * Intervals and timeouts of an entry.
	 *
	 * @param heartbeat interval between heartbeats
	 * @param schedulerLease duration of the scheduler's lease unless renewed
	 * @param zoneFreshness maximum age of the view of zones when a run is started
	 * @param configurationPoll interval between reads of the configuration row
	 * @param defaultDeadline deadline of requests that specify none
	 * @param drain maximum duration of a graceful shutdown
	 */
	public record Timing(Duration heartbeat, Duration schedulerLease, Duration zoneFreshness,
			Duration configurationPoll, Duration defaultDeadline, Duration drain) {

		/** The default timing. */
		public static final Timing DEFAULT = new Timing(Duration.ofMillis(500), Duration.ofSeconds(4),
				Duration.ofSeconds(3), Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofSeconds(30));

	}

}
