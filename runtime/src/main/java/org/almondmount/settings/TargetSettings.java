package org.almondmount.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.almondmount.model.WorkerInfo;
import org.almondmount.wire.PeerSettings;

/**
 * The validated settings of a target process. Immutable.
 *
 * @param balancer address of the platform's load balancer in front of the entries' peer
 * addresses
 * @param worker name, zone, rack and capacity of the worker that the target controls; the
 * target has the same name
 * @param workerApi address of the worker's API
 * @param instance address at which the service instance accepts requests
 * @param slots maximum number of requests that the instance processes concurrently
 * @param connections maximum number of connections that the instance accepts
 * @param peer settings of connections between processes
 * @param timing intervals and timeouts
 */
public record TargetSettings(InetSocketAddress balancer, WorkerInfo worker, InetSocketAddress workerApi,
		InetSocketAddress instance, int slots, int connections, PeerSettings peer, Timing timing) {

	/**
	 * Intervals and timeouts of a target.
	 *
	 * @param heartbeat interval between heartbeats
	 * @param prepareHold how long capacity is held for a member that is not started
	 * @param gangTimeout how long a member runs without confirmation that its gang is
	 * fully running
	 * @param taskLease the lease under which the worker runs a task
	 * @param workerPoll interval between reads of the worker's task reports
	 * @param drain maximum duration of a graceful shutdown
	 */
	public record Timing(Duration heartbeat, Duration prepareHold, Duration gangTimeout, Duration taskLease,
			Duration workerPoll, Duration drain) {

		/** The default timing. */
		public static final Timing DEFAULT = new Timing(Duration.ofMillis(500), Duration.ofSeconds(5),
				Duration.ofSeconds(6), Duration.ofSeconds(6), Duration.ofMillis(250), Duration.ofSeconds(30));

	}

}
