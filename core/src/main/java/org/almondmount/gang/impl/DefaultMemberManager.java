package org.almondmount.gang.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.almondmount.gang.HeldMember;
import org.almondmount.gang.MemberCommand;
import org.almondmount.gang.MemberEvent;
import org.almondmount.gang.MemberManager;
import org.almondmount.gang.MemberPolicy;
import org.almondmount.gang.impl.MemberRecord.Phase;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * The member manager. Deterministic; not thread-safe.
 * <p>
 * The timers are processed before each event. A process that was frozen therefore notices
 * that its leases, its holds and the state of the zone have expired before it handles
 * anything that was buffered in its sockets.
 */
public final class DefaultMemberManager implements MemberManager {

	private static final int MIN_END_REPORTS_BEFORE_DRAINED = 3;

	private final MemberPolicy policy;

	private final Map<MemberKey, MemberRecord> members = new TreeMap<>();

	private final AttemptFences fences;

	private final RecordedAttempts recordedAttempts;

	private final ZoneView zone = new ZoneView();

	private long highestEpoch;

	private boolean draining;

	private boolean drained;

	private List<MemberCommand> commands = new ArrayList<>();

	public DefaultMemberManager(MemberPolicy policy) {
		this.policy = policy;
		this.fences = new AttemptFences(policy.fenceRetention().toMillis(), policy.maxFencedJobs());
		this.recordedAttempts = new RecordedAttempts(policy.maxFencedJobs());
	}

	@Override
	public List<HeldMember> heldMembers() {
		List<HeldMember> held = new ArrayList<>();
		for (MemberRecord member : this.members.values()) {
			member.toHeldMember().ifPresent(held::add);
		}
		return held;
	}

	@Override
	public long highestEpoch() {
		return this.highestEpoch;
	}

	@Override
	public List<MemberCommand> handle(long now, MemberEvent event) {
		this.commands = new ArrayList<>();
		processTimers(now);
		dispatch(now, event);
		announceDrained();
		return this.commands;
	}

	private void dispatch(long now, MemberEvent event) {
		if (event instanceof MemberEvent.PrepareReceived prepare) {
			prepare(now, prepare);
		}
		else if (event instanceof MemberEvent.StartReceived start && acceptsEpoch(start.epoch())) {
			startMember(now, start.attempt(), start.member());
		}
		else if (event instanceof MemberEvent.AbortReceived abort && acceptsEpoch(abort.epoch())) {
			abortMember(now, abort.attempt(), abort.member());
		}
		else if (event instanceof MemberEvent.SuspendReceived suspend && acceptsEpoch(suspend.epoch())) {
			suspendMember(now, suspend.attempt(), suspend.member());
		}
		else if (event instanceof MemberEvent.StopReceived stop && acceptsEpoch(stop.epoch())) {
			abortMember(now, stop.attempt(), stop.member());
		}
		else if (event instanceof MemberEvent.ThrottleReceived throttle && acceptsEpoch(throttle.epoch())) {
			throttleMember(throttle.attempt(), throttle.member());
		}
		else if (event instanceof MemberEvent.GangConfirmedRunning confirmed) {
			extendGangLease(now - confirmed.heartbeatAgeMillis(), confirmed.attempt());
		}
		else if (event instanceof MemberEvent.ZoneStateReceived received) {
			updateZone(now, received);
		}
		else if (event instanceof MemberEvent.EndRecorded recorded) {
			handleEndRecorded(now, recorded.attempt());
		}
		else if (event instanceof MemberEvent.DrainRequested) {
			startDrain(now);
		}
		else {
			dispatchWorkerEvent(now, event);
		}
	}

	private void dispatchWorkerEvent(long now, MemberEvent event) {
		if (event instanceof MemberEvent.TaskRunning running) {
			handleTaskRunning(now, running.attempt(), running.member());
		}
		else if (event instanceof MemberEvent.TaskCheckpointed checkpointed) {
			this.commands.add(new MemberCommand.ReportCheckpointed(checkpointed.attempt(), checkpointed.member()));
		}
		else if (event instanceof MemberEvent.TaskEnded ended) {
			handleTaskEnded(now, ended);
		}
		else if (event instanceof MemberEvent.TaskUsage usage) {
			this.commands.add(new MemberCommand.ReportUsage(usage.attempt(), usage.member(), usage.used()));
		}
	}

	// A holder that was paused past the end of its lease may still send orders. Its epoch
	// is lower than that of its successor, whose orders were received here.
	private boolean acceptsEpoch(long orderEpoch) {
		if (orderEpoch < this.highestEpoch) {
			return false;
		}
		this.highestEpoch = orderEpoch;
		return true;
	}

	private void prepare(long now, MemberEvent.PrepareReceived prepare) {
		if (!acceptsEpoch(prepare.epoch())) {
			return;
		}
		Attempt attempt = prepare.attempt();
		MemberRecord existing = this.members.get(new MemberKey(attempt, prepare.member()));
		if (existing != null) {
			repeatPrepare(now, existing);
			return;
		}
		fenceEarlierAttempts(now, attempt);
		Optional<String> refusal = refusalReason(attempt, prepare.spec());
		if (refusal.isPresent()) {
			this.commands.add(new MemberCommand.ReportRefused(attempt, prepare.member(), refusal.get()));
			return;
		}
		MemberRecord member = new MemberRecord(attempt, prepare.member(), Optional.of(prepare.spec()),
				prepare.fromCheckpoint());
		member.enterPhase(now, Phase.HELD, now + this.policy.prepareHold().toMillis());
		this.members.put(new MemberKey(attempt, prepare.member()), member);
		sendReport(now, member);
	}

	private void repeatPrepare(long now, MemberRecord existing) {
		if (existing.phase() == Phase.HELD) {
			existing.extendDeadline(now + this.policy.prepareHold().toMillis());
		}
		sendReport(now, existing);
	}

	private Optional<String> refusalReason(Attempt attempt, JobSpec spec) {
		if (this.draining) {
			return Optional.of("the worker is draining");
		}
		if (this.fences.isFenced(attempt)) {
			return Optional.of("the attempt or a later one is fenced");
		}
		if (this.zone.isOut()) {
			return Optional.of("the zone is out of service");
		}
		if (!this.fences.hasCapacity()) {
			return Optional.of("the worker's table of fenced attempts is full");
		}
		Resources used = spec.shape().perMember();
		for (MemberRecord member : this.members.values()) {
			if (!member.usesCapacity()) {
				continue;
			}
			if (member.spec().isEmpty()) {
				return Optional.of("a running task of unknown size has not ended yet");
			}
			used = used.plus(member.spec().get().shape().perMember());
		}
		if (!used.fitsIn(this.policy.capacity())) {
			return Optional.of("the worker has too little free capacity");
		}
		return Optional.empty();
	}

	// Two attempts of one job at the same time would run it twice.
	private void fenceEarlierAttempts(long now, Attempt attempt) {
		for (MemberRecord member : List.copyOf(this.members.values())) {
			boolean earlier = member.attempt().job().equals(attempt.job())
					&& member.attempt().number() < attempt.number();
			if (earlier) {
				this.fences.fence(now, member.attempt());
				release(now, member, "a later attempt replaces it");
			}
		}
	}

	private void startMember(long now, Attempt attempt, int number) {
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member == null) {
			this.fences.fence(now, attempt);
			this.commands.add(new MemberCommand.ReportRefused(attempt, number, "the member is not held"));
			return;
		}
		if (member.phase() != Phase.HELD) {
			sendReport(now, member);
			return;
		}
		if (!this.zone.allowsStart(now)) {
			this.fences.fence(now, attempt);
			release(now, member, "the zone is out of service or its known state is too old");
			return;
		}
		member.enterPhase(now, Phase.STARTING, now + this.policy.gangTimeout().toMillis());
		member.scheduleRenewal(now + this.policy.renewalInterval().toMillis());
		this.commands
			.add(new MemberCommand.StartTask(attempt, number, member.spec().orElseThrow(), member.fromCheckpoint()));
	}

	private void abortMember(long now, Attempt attempt, int number) {
		this.fences.fence(now, attempt);
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member != null) {
			release(now, member, "the attempt was aborted");
		}
	}

	private void suspendMember(long now, Attempt attempt, int number) {
		this.fences.fence(now, attempt);
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member == null) {
			return;
		}
		if (member.phase() == Phase.HELD) {
			release(now, member, "the member was suspended before it was started");
			return;
		}
		suspend(now, member);
	}

	private void throttleMember(Attempt attempt, int number) {
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member != null && member.phase() == Phase.RUNNING) {
			this.commands.add(new MemberCommand.ThrottleTask(attempt, number));
		}
	}

	private void extendGangLease(long heartbeatSentAt, Attempt attempt) {
		for (MemberRecord member : this.members.values()) {
			boolean running = member.phase() == Phase.STARTING || member.phase() == Phase.RUNNING;
			if (running && member.attempt().equals(attempt)) {
				member.extendDeadline(heartbeatSentAt + this.policy.gangTimeout().toMillis());
			}
		}
	}

	private void updateZone(long now, MemberEvent.ZoneStateReceived received) {
		this.zone.update(now, received.state(), received.revision(), received.validForMillis());
		if (!this.zone.isOut()) {
			return;
		}
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (member.phase() == Phase.HELD) {
				this.fences.fence(now, member.attempt());
				release(now, member, "the zone went out of service");
			}
		}
	}

	private void handleEndRecorded(long now, Attempt attempt) {
		this.recordedAttempts.add(attempt);
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (!member.attempt().equals(attempt)) {
				continue;
			}
			if (member.phase() == Phase.ENDED) {
				this.members.remove(new MemberKey(attempt, member.member()));
				continue;
			}
			// The end of the attempt is recorded, so any member of it that is left here
			// must not continue.
			this.fences.fence(now, attempt);
			release(now, member, "the end of its attempt is recorded");
		}
	}

	private void startDrain(long now) {
		this.draining = true;
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (member.phase() == Phase.HELD) {
				this.fences.fence(now, member.attempt());
				release(now, member, "the worker is draining");
			}
			else if (member.canCheckpoint()) {
				suspend(now, member);
			}
		}
	}

	private void handleTaskRunning(long now, Attempt attempt, int number) {
		MemberKey key = new MemberKey(attempt, number);
		MemberRecord member = this.members.get(key);
		if (member == null) {
			suspendUnknownTask(now, attempt, number);
			return;
		}
		if (member.phase() == Phase.STARTING) {
			long gangLeaseEnd = member.deadline();
			member.enterPhase(now, Phase.RUNNING, gangLeaseEnd);
			sendReport(now, member);
		}
		else if (member.phase() == Phase.ENDED || member.phase() == Phase.HELD) {
			this.commands.add(new MemberCommand.StopTask(attempt, number));
		}
	}

	// This process was restarted while the task ran. It does not know what the task needs
	// or whether its gang is fully running, so the task is checkpointed and ended. The
	// report of its end lets the job be placed again from that checkpoint.
	private void suspendUnknownTask(long now, Attempt attempt, int number) {
		MemberRecord member = new MemberRecord(attempt, number, Optional.empty(), false);
		member.enterPhase(now, Phase.RUNNING, now);
		this.fences.fence(now, attempt);
		this.members.put(new MemberKey(attempt, number), member);
		suspend(now, member);
	}

	private void handleTaskEnded(long now, MemberEvent.TaskEnded ended) {
		if (this.recordedAttempts.contains(ended.attempt())) {
			this.members.remove(new MemberKey(ended.attempt(), ended.member()));
			return;
		}
		MemberKey key = new MemberKey(ended.attempt(), ended.member());
		MemberRecord member = this.members.computeIfAbsent(key,
				(id) -> new MemberRecord(ended.attempt(), ended.member(), Optional.empty(), false));
		if (member.phase() == Phase.ENDED) {
			return;
		}
		member.recordEnd(now, ended.outcome());
		sendReport(now, member);
	}

	private void processTimers(long now) {
		this.fences.expire(now);
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (now >= member.deadline()) {
				handleDeadline(now, member);
			}
			renewIfDue(now, member);
			if (now >= member.nextReportAt()) {
				sendReport(now, member);
			}
		}
	}

	private void handleDeadline(long now, MemberRecord member) {
		switch (member.phase()) {
			case HELD -> {
				this.fences.fence(now, member.attempt());
				release(now, member, "the hold expired before the member was started");
			}
			case STARTING, RUNNING -> {
				this.fences.fence(now, member.attempt());
				suspend(now, member);
			}
			case SUSPENDING -> stop(now, member);
			case STOPPING -> {
				// The worker does not report the task, and its lease expired long ago
				// without a renewal.
				member.recordEnd(now, JobOutcome.UNKNOWN);
				sendReport(now, member);
			}
			case ENDED -> {
			}
		}
	}

	private void renewIfDue(long now, MemberRecord member) {
		boolean leaseNeeded = member.phase() == Phase.STARTING || member.phase() == Phase.RUNNING
				|| member.phase() == Phase.SUSPENDING;
		if (leaseNeeded && now >= member.nextRenewalAt()) {
			member.scheduleRenewal(now + this.policy.renewalInterval().toMillis());
			this.commands.add(new MemberCommand.RenewTask(member.attempt(), member.member()));
		}
	}

	private void release(long now, MemberRecord member, String reason) {
		if (member.phase() == Phase.HELD) {
			this.members.remove(new MemberKey(member.attempt(), member.member()));
			this.commands.add(new MemberCommand.ReportRefused(member.attempt(), member.member(), reason));
			return;
		}
		if (member.phase() != Phase.ENDED) {
			stop(now, member);
		}
	}

	private void suspend(long now, MemberRecord member) {
		boolean running = member.phase() == Phase.STARTING || member.phase() == Phase.RUNNING;
		if (!running) {
			return;
		}
		if (!member.canCheckpoint()) {
			stop(now, member);
			return;
		}
		member.enterPhase(now, Phase.SUSPENDING, now + this.policy.suspendTimeout().toMillis());
		this.commands.add(new MemberCommand.SuspendTask(member.attempt(), member.member()));
		member.scheduleReport(now + this.policy.reportInterval().toMillis());
	}

	private void stop(long now, MemberRecord member) {
		if (member.phase() == Phase.STOPPING) {
			return;
		}
		member.enterPhase(now, Phase.STOPPING, now + 2 * this.policy.taskLease().toMillis());
		sendReport(now, member);
	}

	// Orders and reports can be lost on the way. They are idempotent, so it is enough to
	// repeat them until the next phase.
	private void sendReport(long now, MemberRecord member) {
		member.scheduleReport(now + this.policy.reportInterval().toMillis());
		Attempt attempt = member.attempt();
		int number = member.member();
		switch (member.phase()) {
			case HELD -> this.commands.add(new MemberCommand.ReportPrepared(attempt, number));
			case STARTING -> {
			}
			case RUNNING -> {
				this.commands.add(new MemberCommand.ReportStarted(attempt, number));
				if (now - member.phaseStartedAt() >= this.policy.startedReportPeriod().toMillis()) {
					member.scheduleReport(Long.MAX_VALUE);
				}
			}
			case SUSPENDING -> this.commands.add(new MemberCommand.SuspendTask(attempt, number));
			case STOPPING -> this.commands.add(new MemberCommand.StopTask(attempt, number));
			case ENDED -> {
				member.countEndReport();
				this.commands.add(new MemberCommand.ReportEnded(attempt, number, member.outcome()));
			}
		}
	}

	private void announceDrained() {
		if (!this.draining || this.drained) {
			return;
		}
		for (MemberRecord member : this.members.values()) {
			if (member.phase() != Phase.ENDED || member.endReportCount() < MIN_END_REPORTS_BEFORE_DRAINED) {
				return;
			}
		}
		this.drained = true;
		this.commands.add(new MemberCommand.Drained());
	}

}
