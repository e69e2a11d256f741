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
 * @param peers where it accepts peers
 * @param sharedKey the secret of this installation
 * @param lease for how long workers go on without a word of the holder
 * @param termLength how long a term goes on after its last commit
 * @param drain time for an orderly end
 * @param stop how long a worker takes at most to end a run
 * @param status how long callers can ask for a job that has ended
 * @param checkpointing how workers keep the progress of tasks
 * @param features what the scheduler does beyond its promises
 */
public record FleetSettings(String name, String zone, InetSocketAddress peers, String sharedKey, Duration lease,
		Duration termLength, Duration drain, Duration stop, Duration status, Checkpointing checkpointing,
		Set<SchedulerFeature> features) {

	/** Two words of a peer may be missing before its connection counts as dead. */
	private static final Duration PEER_SILENCE = Duration.ofMillis(2_500);

	private static final Duration HANDSHAKE = Duration.ofMillis(1_500);

	private static final int MOST_FRAME_BYTES = 4 << 20;

	private static final int MOST_OUTSTANDING_BYTES = 16 << 20;

	public FleetSettings withFeatures(Set<SchedulerFeature> some) {
		return new FleetSettings(this.name, this.zone, this.peers, this.sharedKey, this.lease, this.termLength,
				this.drain, this.stop, this.status, this.checkpointing, some);
	}

	public PeerSettings peer() {
		return new PeerSettings(this.sharedKey, PEER_SILENCE, HANDSHAKE, MOST_FRAME_BYTES, MOST_OUTSTANDING_BYTES);
	}

	/**
	 * Where peers reach this process, as it is told to others.
	 * @return {@code ip:port}
	 */
	public String peerAddress() {
		return this.peers.getAddress().getHostAddress() + ":" + this.peers.getPort();
	}

}
