package org.almondmount.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;

import org.almondmount.wire.PeerSettings;
import org.almondmount.workflow.Checkpointing;
import org.almondmount.workflow.SchedulerFeature;

/**
 * What an entry or a target has to know of its installation. Immutable.
 *
 * @param name this VM's name
 * @param zone its availability zone
 * @param peerListenAddress where it accepts peers
 * @param sharedKey the secret of this installation
 * @param leaseDuration for how long workers go on without a word of the holder
 * @param termLength how long a term goes on after its last commit
 * @param drainTimeout time for an orderly end
 * @param stopTimeout how long a worker takes at most to end a run
 * @param endedJobRetention how long callers can ask for a job that has ended
 * @param checkpointing how workers keep the progress of tasks
 * @param features what the scheduler does beyond its promises
 */
public record FleetSettings(String name, String zone, InetSocketAddress peerListenAddress, String sharedKey,
		Duration leaseDuration, Duration termLength, Duration drainTimeout, Duration stopTimeout,
		Duration endedJobRetention, Checkpointing checkpointing, Set<SchedulerFeature> features) {

	/** Two words of a peer may be missing before its connection counts as dead. */
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
	 * Where peers reach this process, as it is told to others.
	 * @return {@code ip:port}
	 */
	public String peerAddress() {
		return this.peerListenAddress.getAddress().getHostAddress() + ":" + this.peerListenAddress.getPort();
	}

}
