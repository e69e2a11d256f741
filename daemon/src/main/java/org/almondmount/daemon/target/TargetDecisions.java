package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.almondmount.daemon.target.EntryLink.Beat;
import org.almondmount.gang.MemberEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Configuration;
import org.almondmount.model.ZoneState;
import org.almondmount.settings.TargetSettings;
import org.almondmount.slots.SlotEvent;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;

/**
 * The target's decisions duty: takes signals one by one and owns all state.
 */
final class TargetDecisions {

	private static final EventLog LOG = EventLog.of(TargetDecisions.class);

	private static final long ASK_CONFIGURATION_EVERY_MILLIS = 250;

	private final TargetSettings settings;

	private final LongSupplier clock;

	private final EntryDirectory entries;

	private final SlotShell slots;

	private final MemberShell members;

	private final WorkerTasks tasks;

	private final EntryDialling dialling;

	private Configuration configuration = Configuration.EMPTY;

	private boolean configurationKnown;

	private long beatAt;

	private long pollAt;

	TargetDecisions(TargetSettings settings, LongSupplier clock, EntryDirectory entries, SlotShell slots,
			MemberShell members, WorkerTasks tasks, EntryDialling dialling) {
		this.settings = settings;
		this.clock = clock;
		this.entries = entries;
		this.slots = slots;
		this.members = members;
		this.tasks = tasks;
		this.dialling = dialling;
		this.beatAt = clock.getAsLong();
		this.pollAt = this.beatAt;
	}

	boolean drained() {
		return this.slots.drained() && this.members.drained();
	}

	void handle(TargetSignal signal) {
		long now = this.clock.getAsLong();
		if (signal instanceof TargetSignal.Received received) {
			received(now, received.connection(), received.message());
		}
		else if (signal instanceof TargetSignal.InstanceAnswered answered) {
			this.slots.answered(now, answered.request(), answered.attempt(), answered.answer());
		}
		else if (signal instanceof TargetSignal.InstanceFailed failed) {
			this.slots.handle(now, new SlotEvent.CallBroken(failed.request(), failed.attempt(), failed.mayHaveArrived(),
					failed.why()));
		}
		else if (signal instanceof TargetSignal.Tick) {
			tick(now);
		}
		else if (signal instanceof TargetSignal.Drain) {
			drain(now);
		}
		else if (!connectionSignal(now, signal)) {
			workerSignal(now, signal);
		}
	}

	private boolean connectionSignal(long now, TargetSignal signal) {
		if (signal instanceof TargetSignal.Opened opened) {
			opened(now, opened.connection());
		}
		else if (signal instanceof TargetSignal.Closed closed) {
			closed(now, closed.connection(), closed.reason());
		}
		else if (signal instanceof TargetSignal.DialSucceeded dialled) {
			this.entries.dialSucceeded(dialled.address());
		}
		else if (signal instanceof TargetSignal.DialFailed failed) {
			LOG.info("dial-failed", "address", Addresses.format(failed.address()), "why", failed.why());
			this.entries.dialFailed(now, failed.address());
		}
		else {
			return false;
		}
		return true;
	}

	private void workerSignal(long now, TargetSignal signal) {
		if (signal instanceof TargetSignal.WorkerTold told) {
			this.tasks.told(told.tasks()).forEach((event) -> this.members.handle(now, event));
		}
		else if (signal instanceof TargetSignal.WorkerSilent silent) {
			this.tasks.silent(silent.why());
		}
		else if (signal instanceof TargetSignal.StartFailed failed) {
			LOG.warn("task-start-failed", "job", failed.attempt().job(), "attempt", failed.attempt().number(), "member",
					failed.member(), "why", failed.why());
			JobOutcome ending = failed.mayHaveArrived() ? JobOutcome.UNKNOWN : JobOutcome.WORKER_FAILED;
			this.members.handle(now, new MemberEvent.TaskEnded(failed.attempt(), failed.member(), ending));
		}
	}

	private void opened(long now, PeerConnection connection) {
		if (connection.peer().role() != PeerInfo.Role.ENTRY) {
			connection.close(CloseReason.LOCAL);
			return;
		}
		Optional<EntryLink> older = this.entries.opened(now, connection);
		older.ifPresent((link) -> {
			this.slots.handle(now, new SlotEvent.EntryLost(link.entry()));
			link.connection().close(CloseReason.REPLACED);
		});
		EntryLink link = this.entries.link(connection).orElseThrow();
		LOG.info("entry-joined", "entry", link.entry(), "address", link.address());
		beat(now, link);
		this.slots.handle(now, new SlotEvent.EntryJoined(link.entry()));
		if (this.slots.leaving()) {
			connection.send(new Message.Leaving());
		}
	}

	private void closed(long now, PeerConnection connection, CloseReason reason) {
		Optional<EntryLink> link = this.entries.closed(now, connection);
		if (link.isPresent()) {
			LOG.warn("entry-lost", "entry", link.get().entry(), "reason", reason.externalName());
			this.slots.handle(now, new SlotEvent.EntryLost(link.get().entry()));
		}
	}

	private void received(long now, PeerConnection connection, Message message) {
		Optional<EntryLink> link = this.entries.link(connection);
		// What an abandoned connection still brings has been given up by its sender.
		if (link.isEmpty()) {
			return;
		}
		if (message instanceof Message.Call call) {
			this.slots.call(now, link.get().entry(), call);
		}
		else if (message instanceof Message.CallCancel cancel) {
			this.slots.handle(now, new SlotEvent.CallCancelled(link.get().entry(), cancel.request(), cancel.attempt()));
		}
		else if (message instanceof Message.HeartbeatReply reply) {
			replied(now, link.get(), reply);
		}
		else if (message instanceof Message.ConfigurationPush push) {
			take(now, push.configuration());
		}
		else if (message instanceof Message.ConfigurationWanted && this.configurationKnown) {
			connection.send(new Message.ConfigurationPush(this.configuration));
		}
		else if (message instanceof Message.Prepare prepare) {
			this.members.handle(now, new MemberEvent.PrepareReceived(prepare.epoch(), prepare.attempt(),
					prepare.member(), prepare.spec(), prepare.fromCheckpoint()));
		}
		else if (message instanceof Message.MemberOrder order) {
			this.members.handle(now, event(order));
		}
	}

	private static MemberEvent event(Message.MemberOrder order) {
		return switch (order.order()) {
			case START -> new MemberEvent.StartReceived(order.epoch(), order.attempt(), order.member());
			case ABORT -> new MemberEvent.AbortReceived(order.epoch(), order.attempt(), order.member());
			case SUSPEND -> new MemberEvent.SuspendReceived(order.epoch(), order.attempt(), order.member());
			case STOP -> new MemberEvent.StopReceived(order.epoch(), order.attempt(), order.member());
			case THROTTLE -> new MemberEvent.ThrottleReceived(order.epoch(), order.attempt(), order.member());
		};
	}

	private void replied(long now, EntryLink link, Message.HeartbeatReply reply) {
		Optional<Beat> beat = link.answered(reply.sequence());
		if (beat.isEmpty()) {
			return;
		}
		this.slots.handle(now, new SlotEvent.LoanConfirmed(link.entry(), beat.get().loans()));
		reply.entries().forEach((address) -> this.entries.heardOf(now, address));
		reply.recordedAttempts().forEach((attempt) -> this.members.handle(now, new MemberEvent.EndRecorded(attempt)));
		long age = now - beat.get().sentAt();
		reply.fullyRunningAttempts()
			.forEach((attempt) -> this.members.handle(now, new MemberEvent.GangConfirmedRunning(attempt, age)));
		boolean behind = !this.configurationKnown || reply.revision() > this.configuration.revision();
		if (behind) {
			if (link.mayAskForConfiguration(now, ASK_CONFIGURATION_EVERY_MILLIS)) {
				link.connection().send(new Message.ConfigurationWanted(this.configuration.revision()));
			}
			return;
		}
		if (reply.revision() == this.configuration.revision()) {
			// The view is as old as the heartbeat that it answers, at most.
			long freshFor = reply.zonesFreshForMillis() - age;
			zoneHeard(now, Math.max(0, freshFor));
		}
	}

	private void take(long now, Configuration offered) {
		if (this.configurationKnown && offered.revision() <= this.configuration.revision()) {
			return;
		}
		this.configuration = offered;
		this.configurationKnown = true;
		LOG.info("configuration", "revision", offered.revision());
		zoneHeard(now, 0);
		// Nothing starts here until an entry has said that its view of the zones is fresh
		// at this revision. Left to the next regular heartbeat, every change of the
		// configuration would have the gangs that are being started refused.
		this.entries.links().forEach((link) -> beat(now, link));
	}

	private void zoneHeard(long now, long freshFor) {
		ZoneState state = this.configuration.zone(this.settings.worker().zone());
		this.slots.handle(now, new SlotEvent.ZoneStateReceived(state));
		this.members.handle(now, new MemberEvent.ZoneStateReceived(state, this.configuration.revision(), freshFor));
	}

	private void tick(long now) {
		this.slots.handle(now, new SlotEvent.Tick());
		this.members.handle(now, new MemberEvent.Tick());
		if (now >= this.beatAt) {
			this.beatAt = now + this.settings.timing().heartbeat().toMillis();
			this.entries.links().forEach((link) -> beat(now, link));
		}
		if (now >= this.pollAt) {
			this.pollAt = now + this.settings.timing().workerPoll().toMillis();
			this.tasks.ask();
		}
		for (InetSocketAddress address : this.entries.due(now)) {
			this.dialling.dial(address);
		}
	}

	private void beat(long now, EntryLink link) {
		if (link.isLate(now, this.settings.peer().heartbeatTimeout().toMillis())) {
			link.connection().close(CloseReason.SILENT);
			return;
		}
		// An announcement that was lost would have the entry send calls to be refused.
		if (this.slots.leaving()) {
			link.connection().send(new Message.Leaving());
		}
		link.connection()
			.send(new Message.Heartbeat(link.nextBeat(now), this.configuration.revision(), this.members.epoch(),
					this.slots.inUse(), this.members.held()));
	}

	private void drain(long now) {
		LOG.info("drain", "inUse", this.slots.inUse());
		this.slots.handle(now, new SlotEvent.Draining());
		this.members.handle(now, new MemberEvent.DrainRequested());
	}

}
