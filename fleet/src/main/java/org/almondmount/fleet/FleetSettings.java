package org.almondmount.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;

import org.almondmount.wire.PeerSettings;
import org.almondmount.workflow.Checkpointing;
import org.almondmount.workflow.SchedulerFeature;

/**
 * Settings of an entry or a target. Immutable.
 *
 * @param name name of this VM
 * @param zone availability zone of this VM
 * @param peerListenAddress address on which peers are accepted
 * @param sharedKey secret shared by the processes of this installation
 * @param leaseDuration how long workers continue without contact to the holder
 * @param termLength how long a term remains valid after its last commit
 * @param drainTimeout time for an orderly shutdown
 * @param stopTimeout longest time that a worker takes to stop a run
 * @param endedJobRetention how long callers can query a job that has ended
 * @param checkpointing how workers store the progress of tasks
 * @param features optional features of the scheduler
 */
public record FleetSettings(String name, String zone, InetSocketAddress peerListenAddress, String sharedKey,
		Duration leaseDuration, Duration termLength, Duration drainTimeout, Duration stopTimeout,
		Duration endedJobRetention, Checkpointing checkpointing, Set<SchedulerFeature> features) {

	/**
	 * A connection is considered dead only after two heartbeats of the peer are missing.
	 */
	private static final Duration PEER_SILENCE_TIMEOUT = Duration.ofMillis(2_500);

	private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(1_500);

	private static final int MAX_FRAME_BYTES = 4 << 20;

	private static final int MAX_OUTSTANDING_BYTES = 16 << 20;

	public FleetSettings withFeatures(Set<SchedulerFeature> newFeatures) {
		return new FleetSettings(this.name, this.zone, this.peerListenAddress, this.sharedKey, this.leaseDuration,
				this.termLength, this.drainTimeout, this.stopTimeout, this.endedJobRetention, this.checkpointing,
				newFeatures);
	}

	public PeerSettings peerSettings() {
		return new PeerSettings(this.sharedKey, PEER_SILENCE_TIMEOUT, HANDSHAKE_TIMEOUT, MAX_FRAME_BYTES,
				MAX_OUTSTANDING_BYTES);
	}

	/**
	 * Returns the address at which peers reach this process, as announced to others.
	 * @return {@code ip:port}
	 */
	public String peerAddress() {
		return this.peerListenAddress.getAddress().getHostAddress() + ":" + this.peerListenAddress.getPort();
	}

}
