package org.almondmount.gang.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.almondmount.gang.HeldMember;
import org.almondmount.gang.MemberCommand;
import org.almondmount.gang.MemberEvent;
import org.almondmount.gang.MemberKeeper;
import org.almondmount.gang.MemberPolicy;
import org.almondmount.gang.impl.MemberRecord.Phase;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * The member keeper. Deterministic; not thread-safe.
 * <p>
 * Every event first lets time pass. A process that was frozen therefore finds out that
 * its leases, holds and view of the zone have run out before it acts on anything that
 * waited in its sockets.
 */
public final class DefaultMemberKeeper implements MemberKeeper {

	private static final int REPORTS_BEFORE_LEAVING = 3;

	private final MemberPolicy policy;

	private final Map<MemberKey, MemberRecord> members = new TreeMap<>();

	private final AttemptFences fences;

	private final ForgottenAttempts forgotten;

	private final ZoneView zone = new ZoneView();

	private long epoch;

	private boolean draining;

	private boolean drained;

	private List<MemberCommand> commands = new ArrayList<>();

	public DefaultMemberKeeper(MemberPolicy policy) {
		this.policy = policy;
		this.fences = new AttemptFences(policy.rememberAttempts().toMillis(), policy.rememberAtMost());
		this.forgotten = new ForgottenAttempts(policy.rememberAtMost());
	}

	@Override
	public List<HeldMember> held() {
		List<HeldMember> held = new ArrayList<>();
		for (MemberRecord member : this.members.values()) {
			member.held().ifPresent(held::add);
		}
		return held;
	}

	@Override
	public long epoch() {
		return this.epoch;
	}

	@Override
	public List<MemberCommand> handle(long now, MemberEvent event) {
		this.commands = new ArrayList<>();
		passTime(now);
		take(now, event);
		announceDrained();
		return this.commands;
	}

	private void take(long now, MemberEvent event) {
		if (event instanceof MemberEvent.PrepareReceived prepare) {
			prepare(now, prepare);
		}
		else if (event instanceof MemberEvent.StartReceived start && accepts(start.epoch())) {
			start(now, start.attempt(), start.member());
		}
		else if (event instanceof MemberEvent.AbortReceived abort && accepts(abort.epoch())) {
			abort(now, abort.attempt(), abort.member());
		}
		else if (event instanceof MemberEvent.SuspendReceived suspend && accepts(suspend.epoch())) {
			suspendOrdered(now, suspend.attempt(), suspend.member());
		}
		else if (event instanceof MemberEvent.StopReceived stop && accepts(stop.epoch())) {
			abort(now, stop.attempt(), stop.member());
		}
		else if (event instanceof MemberEvent.ThrottleReceived throttle && accepts(throttle.epoch())) {
			throttle(throttle.attempt(), throttle.member());
		}
		else if (event instanceof MemberEvent.WholeHeard whole) {
			wholeHeard(now - whole.ageMillis(), whole.attempt());
		}
		else if (event instanceof MemberEvent.ZoneHeard heard) {
			zoneHeard(now, heard);
		}
		else if (event instanceof MemberEvent.Forgotten over) {
			forget(now, over.attempt());
		}
		else if (event instanceof MemberEvent.Draining) {
			drain(now);
		}
		else {
			takeFromWorker(now, event);
		}
	}

	private void takeFromWorker(long now, MemberEvent event) {
		if (event instanceof MemberEvent.TaskRunning running) {
			taskRunning(now, running.attempt(), running.member());
		}
		else if (event instanceof MemberEvent.TaskCheckpointed checkpointed) {
			this.commands.add(new MemberCommand.ReportCheckpointed(checkpointed.attempt(), checkpointed.member()));
		}
		else if (event instanceof MemberEvent.TaskEnded ended) {
			taskEnded(now, ended);
		}
		else if (event instanceof MemberEvent.TaskUsage usage) {
			this.commands.add(new MemberCommand.ReportUsage(usage.attempt(), usage.member(), usage.used()));
		}
	}

	// A holder that was paused past its lease goes on with what it was about to send. Its
	// epoch is lower than its successor's, whose orders have been seen here.
	private boolean accepts(long orderEpoch) {
		if (orderEpoch < this.epoch) {
			return false;
		}
		this.epoch = orderEpoch;
		return true;
	}

	private void prepare(long now, MemberEvent.PrepareReceived prepare) {
		if (!accepts(prepare.epoch())) {
			return;
		}
		Attempt attempt = prepare.attempt();
		MemberRecord known = this.members.get(new MemberKey(attempt, prepare.member()));
		if (known != null) {
			prepareAgain(now, known);
			return;
		}
		fenceOlder(now, attempt);
		Optional<String> refusal = refusal(attempt, prepare.spec());
		if (refusal.isPresent()) {
			this.commands.add(new MemberCommand.ReportRefused(attempt, prepare.member(), refusal.get()));
			return;
		}
		MemberRecord member = new MemberRecord(attempt, prepare.member(), Optional.of(prepare.spec()),
				prepare.fromCheckpoint());
		member.enter(now, Phase.HELD, now + this.policy.prepareHold().toMillis());
		this.members.put(new MemberKey(attempt, prepare.member()), member);
		report(now, member);
	}

	private void prepareAgain(long now, MemberRecord known) {
		if (known.phase() == Phase.HELD) {
			known.extend(now + this.policy.prepareHold().toMillis());
		}
		report(now, known);
	}

	private Optional<String> refusal(Attempt attempt, JobSpec spec) {
		if (this.draining) {
			return Optional.of("the worker is leaving");
		}
		if (this.fences.isGivenUp(attempt)) {
			return Optional.of("the attempt or a later one was given up before");
		}
		if (this.zone.isOut()) {
			return Optional.of("the zone is out of service");
		}
		if (!this.fences.hasRoom()) {
			return Optional.of("the worker's memory of given-up attempts is full");
		}
		Resources used = spec.shape().perMember();
		for (MemberRecord member : this.members.values()) {
			if (!member.usesRoom()) {
				continue;
			}
			if (member.spec().isEmpty()) {
				return Optional.of("a task of unknown size that was found running is not over yet");
			}
			used = used.plus(member.spec().get().shape().perMember());
		}
		if (!used.fitsIn(this.policy.capacity())) {
			return Optional.of("there is no room for it");
		}
		return Optional.empty();
	}

	// Two attempts of one job side by side would run it twice.
	private void fenceOlder(long now, Attempt attempt) {
		for (MemberRecord member : List.copyOf(this.members.values())) {
			boolean older = member.attempt().job().equals(attempt.job())
					&& member.attempt().number() < attempt.number();
			if (older) {
				this.fences.giveUp(now, member.attempt());
				release(now, member, "a later attempt takes its place");
			}
		}
	}

	private void start(long now, Attempt attempt, int number) {
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member == null) {
			this.fences.giveUp(now, attempt);
			this.commands.add(new MemberCommand.ReportRefused(attempt, number, "it is not held"));
			return;
		}
		if (member.phase() != Phase.HELD) {
			report(now, member);
			return;
		}
		if (!this.zone.allowsStart(now)) {
			this.fences.giveUp(now, attempt);
			release(now, member, "the zone is out of service or its state is not known freshly enough");
			return;
		}
		member.enter(now, Phase.STARTING, now + this.policy.gangTimeout().toMillis());
		member.renewNext(now + this.policy.renewEvery().toMillis());
		this.commands
			.add(new MemberCommand.StartTask(attempt, number, member.spec().orElseThrow(), member.fromCheckpoint()));
	}

	private void abort(long now, Attempt attempt, int number) {
		this.fences.giveUp(now, attempt);
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member != null) {
			release(now, member, "it was aborted");
		}
	}

	private void suspendOrdered(long now, Attempt attempt, int number) {
		this.fences.giveUp(now, attempt);
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member == null) {
			return;
		}
		if (member.phase() == Phase.HELD) {
			release(now, member, "it was suspended before it started");
			return;
		}
		suspend(now, member);
	}

	private void throttle(Attempt attempt, int number) {
		MemberRecord member = this.members.get(new MemberKey(attempt, number));
		if (member != null && member.phase() == Phase.RUNNING) {
			this.commands.add(new MemberCommand.ThrottleTask(attempt, number));
		}
	}

	private void wholeHeard(long at, Attempt attempt) {
		for (MemberRecord member : this.members.values()) {
			boolean runs = member.phase() == Phase.STARTING || member.phase() == Phase.RUNNING;
			if (runs && member.attempt().equals(attempt)) {
				member.extend(at + this.policy.gangTimeout().toMillis());
			}
		}
	}

	private void zoneHeard(long now, MemberEvent.ZoneHeard heard) {
		this.zone.hear(now, heard.state(), heard.revision(), heard.freshForMillis());
		if (!this.zone.isOut()) {
			return;
		}
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (member.phase() == Phase.HELD) {
				this.fences.giveUp(now, member.attempt());
				release(now, member, "the zone went out of service");
			}
		}
	}

	private void forget(long now, Attempt attempt) {
		this.forgotten.add(attempt);
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (!member.attempt().equals(attempt)) {
				continue;
			}
			if (member.phase() == Phase.ENDED) {
				this.members.remove(new MemberKey(attempt, member.member()));
				continue;
			}
			// Its end is on record, so whatever of it is left here must not go on.
			this.fences.giveUp(now, attempt);
			release(now, member, "its attempt is over");
		}
	}

	private void drain(long now) {
		this.draining = true;
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (member.phase() == Phase.HELD) {
				this.fences.giveUp(now, member.attempt());
				release(now, member, "the worker is leaving");
			}
			else if (member.checkpoints()) {
				suspend(now, member);
			}
		}
	}

	private void taskRunning(long now, Attempt attempt, int number) {
		MemberKey key = new MemberKey(attempt, number);
		MemberRecord member = this.members.get(key);
		if (member == null) {
			adopt(now, attempt, number);
			return;
		}
		if (member.phase() == Phase.STARTING) {
			long lease = member.deadline();
			member.enter(now, Phase.RUNNING, lease);
			report(now, member);
		}
		else if (member.phase() == Phase.ENDED || member.phase() == Phase.HELD) {
			this.commands.add(new MemberCommand.StopTask(attempt, number));
		}
	}

	// This process was replaced while the task ran. Whether its gang is whole and what
	// the task needs is not known here, so that the task is checkpointed and ended; its
	// report has the job placed again from there.
	private void adopt(long now, Attempt attempt, int number) {
		MemberRecord found = new MemberRecord(attempt, number, Optional.empty(), false);
		found.enter(now, Phase.RUNNING, now);
		this.fences.giveUp(now, attempt);
		this.members.put(new MemberKey(attempt, number), found);
		suspend(now, found);
	}

	private void taskEnded(long now, MemberEvent.TaskEnded ended) {
		if (this.forgotten.contains(ended.attempt())) {
			this.members.remove(new MemberKey(ended.attempt(), ended.member()));
			return;
		}
		MemberKey key = new MemberKey(ended.attempt(), ended.member());
		MemberRecord member = this.members.computeIfAbsent(key,
				(id) -> new MemberRecord(ended.attempt(), ended.member(), Optional.empty(), false));
		if (member.phase() == Phase.ENDED) {
			return;
		}
		member.end(now, ended.ending());
		report(now, member);
	}

	private void passTime(long now) {
		this.fences.expire(now);
		for (MemberRecord member : List.copyOf(this.members.values())) {
			if (now >= member.deadline()) {
				runOut(now, member);
			}
			renew(now, member);
			if (now >= member.reportAt()) {
				report(now, member);
			}
		}
	}

	private void runOut(long now, MemberRecord member) {
		switch (member.phase()) {
			case HELD -> {
				this.fences.giveUp(now, member.attempt());
				release(now, member, "the time for which it was held ran out");
			}
			case STARTING, RUNNING -> {
				this.fences.giveUp(now, member.attempt());
				suspend(now, member);
			}
			case SUSPENDING -> stop(now, member);
			case STOPPING -> {
				// The worker says nothing of it, and its lease ran out long ago without a
				// renewal.
				member.end(now, JobOutcome.UNKNOWN);
				report(now, member);
			}
			case ENDED -> {
			}
		}
	}

	private void renew(long now, MemberRecord member) {
		boolean alive = member.phase() == Phase.STARTING || member.phase() == Phase.RUNNING
				|| member.phase() == Phase.SUSPENDING;
		if (alive && now >= member.renewAt()) {
			member.renewNext(now + this.policy.renewEvery().toMillis());
			this.commands.add(new MemberCommand.RenewTask(member.attempt(), member.member()));
		}
	}

	private void release(long now, MemberRecord member, String why) {
		if (member.phase() == Phase.HELD) {
			this.members.remove(new MemberKey(member.attempt(), member.member()));
			this.commands.add(new MemberCommand.ReportRefused(member.attempt(), member.member(), why));
			return;
		}
		if (member.phase() != Phase.ENDED) {
			stop(now, member);
		}
	}

	private void suspend(long now, MemberRecord member) {
		boolean runs = member.phase() == Phase.STARTING || member.phase() == Phase.RUNNING;
		if (!runs) {
			return;
		}
		if (!member.checkpoints()) {
			stop(now, member);
			return;
		}
		member.enter(now, Phase.SUSPENDING, now + this.policy.suspendLimit().toMillis());
		this.commands.add(new MemberCommand.SuspendTask(member.attempt(), member.member()));
		member.reportNext(now + this.policy.reportEvery().toMillis());
	}

	private void stop(long now, MemberRecord member) {
		if (member.phase() == Phase.STOPPING) {
			return;
		}
		member.enter(now, Phase.STOPPING, now + 2 * this.policy.taskLease().toMillis());
		report(now, member);
	}

	// An order or report can be lost on the way; repeating it until the next phase is
	// enough because each is harmless twice.
	private void report(long now, MemberRecord member) {
		member.reportNext(now + this.policy.reportEvery().toMillis());
		Attempt attempt = member.attempt();
		int number = member.member();
		switch (member.phase()) {
			case HELD -> this.commands.add(new MemberCommand.ReportPrepared(attempt, number));
			case STARTING -> {
			}
			case RUNNING -> {
				this.commands.add(new MemberCommand.ReportStarted(attempt, number));
				if (now - member.phaseBegan() >= this.policy.repeatStartedFor().toMillis()) {
					member.reportNext(Long.MAX_VALUE);
				}
			}
			case SUSPENDING -> this.commands.add(new MemberCommand.SuspendTask(attempt, number));
			case STOPPING -> this.commands.add(new MemberCommand.StopTask(attempt, number));
			case ENDED -> {
				member.countEndReport();
				this.commands.add(new MemberCommand.ReportEnded(attempt, number, member.ending()));
			}
		}
	}

	private void announceDrained() {
		if (!this.draining || this.drained) {
			return;
		}
		for (MemberRecord member : this.members.values()) {
			if (member.phase() != Phase.ENDED || member.endReports() < REPORTS_BEFORE_LEAVING) {
				return;
			}
		}
		this.drained = true;
		this.commands.add(new MemberCommand.Drained());
	}

}
