package org.almondmount.daemon.entry.control;

import java.util.List;

import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.gang.RunningGangTracker;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobEvent;
import org.almondmount.membership.EntryDirectory;
import org.almondmount.model.WorkerId;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * What this entry and the targets say to each other about jobs, configuration and other
 * entries. Owned by the control duty.
 */
final class TargetTalk {

	private final EntryContext context;

	private final Peers peers;

	private final Scheduling scheduling;

	private final ConfigurationDriver configuration;

	private final EntryDirectory directory;

	private final RunningGangTracker wholeness;

	private final long lostAfterMillis;

	TargetTalk(EntryContext context, Peers peers, Scheduling scheduling, ConfigurationDriver configuration,
			EntryDirectory directory) {
		this.context = context;
		this.peers = peers;
		this.scheduling = scheduling;
		this.configuration = configuration;
		this.directory = directory;
		this.lostAfterMillis = context.settings().peer().heartbeatTimeout().toMillis();
		this.wholeness = new RunningGangTracker(this.lostAfterMillis);
	}

	void opened(PeerConnection connection) {
		this.peers.targetOpened(connection).ifPresent((worker) -> feed(new JobEvent.WorkerJoined(worker)));
		this.configuration.current().ifPresent((now) -> connection.send(new Message.ConfigurationPush(now)));
	}

	void closed(PeerConnection connection) {
		boolean leaving = this.peers.workerOf(connection).filter(this.peers::isLeaving).isPresent();
		long now = this.context.clock().millis();
		this.peers.targetClosed(now, connection).ifPresent((worker) -> {
			this.wholeness.removeWorker(worker);
			if (leaving) {
				feed(new JobEvent.WorkerLost(worker));
			}
		});
	}

	/**
	 * Takes a message from a target's current connection.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(PeerConnection connection, Message message) {
		WorkerId worker = this.peers.workerOf(connection).orElse(null);
		if (worker == null) {
			return;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			heartbeat(connection, worker, heartbeat);
		}
		else if (message instanceof Message.Leaving) {
			this.peers.leaving(worker);
			feed(new JobEvent.WorkerLeaving(worker));
		}
		else {
			this.scheduling.term().ifPresent((term) -> term.reported(worker, message));
		}
	}

	void tick(long now) {
		this.peers.lost(now, this.lostAfterMillis).forEach((worker) -> feed(new JobEvent.WorkerLost(worker)));
	}

	private void heartbeat(PeerConnection connection, WorkerId worker, Message.Heartbeat heartbeat) {
		long now = this.context.clock().millis();
		this.wholeness.recordHeartbeat(now, worker, heartbeat.members());
		List<Attempt> forgotten = this.scheduling.term()
			.map((term) -> term.heard(worker, heartbeat.members()))
			.orElse(List.of());
		if (heartbeat.revision() < this.configuration.revision()) {
			this.configuration.current().ifPresent((ours) -> connection.send(new Message.ConfigurationPush(ours)));
		}
		this.configuration.revisionSeen(heartbeat.revision(), connection.peer().name());
		connection.send(new Message.HeartbeatReply(heartbeat.sequence(), this.configuration.revision(),
				this.scheduling.zonesFreshForMillis(), this.wholeness.fullyRunningAttempts(now, worker), forgotten,
				this.directory.addressesToAnnounce()));
	}

	private void feed(JobEvent event) {
		this.scheduling.term().ifPresent((term) -> term.driver().feed(event));
	}

}
