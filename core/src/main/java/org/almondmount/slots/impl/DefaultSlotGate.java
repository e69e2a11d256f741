package org.almondmount.slots.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.almondmount.model.EntryId;
import org.almondmount.model.ZoneState;
import org.almondmount.slots.SlotCommand;
import org.almondmount.slots.SlotEvent;
import org.almondmount.slots.SlotGate;
import org.almondmount.slots.SlotPolicy;

/**
 * Default implementation of the slot gate. Deterministic; not thread-safe.
 */
public final class DefaultSlotGate implements SlotGate {

	private final SlotPolicy policy;

	private final SlotAllocator allocator;

	private final AttemptHistory history;

	private final Map<AttemptKey, RunningAttempt> running = new HashMap<>();

	private ZoneState zone = ZoneState.IN;

	private boolean draining;

	private boolean drained;

	private List<SlotCommand> commands = new ArrayList<>();

	public DefaultSlotGate(SlotPolicy policy) {
		this.policy = policy;
		this.allocator = new SlotAllocator(policy.maxRunning(), policy.rotation());
		this.history = new AttemptHistory(policy.remember().toMillis(), policy.rememberAtMost());
	}

	@Override
	public int inUse() {
		return this.running.size();
	}

	@Override
	public List<SlotCommand> handle(long now, SlotEvent event) {
		this.commands = new ArrayList<>();
		this.history.expire(now);
		handleEvent(now, event);
		rebalance();
		announceDrained();
		return this.commands;
	}

	private void handleEvent(long now, SlotEvent event) {
		if (event instanceof SlotEvent.EntryJoined joined) {
			this.allocator.addEntry(joined.entry());
		}
		else if (event instanceof SlotEvent.EntryLost lost) {
			this.allocator.removeEntry(lost.entry());
		}
		else if (event instanceof SlotEvent.LoanConfirmed confirmed) {
			this.allocator.confirm(confirmed.entry(), confirmed.loanCount());
		}
		else if (event instanceof SlotEvent.CallReceived call) {
			onCallReceived(now, call);
		}
		else if (event instanceof SlotEvent.CallCancelled cancelled) {
			onCallCancelled(now, cancelled);
		}
		else if (event instanceof SlotEvent.CallEnded ended) {
			onCallEnded(now, ended);
		}
		else if (event instanceof SlotEvent.CallBroken broken) {
			onCallBroken(now, broken);
		}
		else if (event instanceof SlotEvent.ZoneStateReceived received) {
			this.zone = received.state();
		}
		else if (event instanceof SlotEvent.Draining) {
			startDraining();
		}
	}

	private void onCallReceived(long now, SlotEvent.CallReceived call) {
		AttemptKey attempt = new AttemptKey(call.request(), call.attempt());
		// A copy of an attempt that ran is dropped: reporting it as not started would
		// make the entry send the request again. The attempt itself has been or will be
		// answered.
		if (this.running.containsKey(attempt) || this.history.hasRun(attempt)) {
			return;
		}
		if (this.history.isKnownNotRun(attempt)) {
			refuse(call, "it was cancelled or refused before this copy arrived");
			return;
		}
		if (!this.history.hasCapacity()) {
			this.commands.add(new SlotCommand.AnswerBroken(call.entry(), call.request(), call.attempt(),
					"the target's history of attempts is full, so it cannot guarantee that no copy runs"));
			return;
		}
		String refusalReason = refusalReason(now, call);
		this.history.record(now, attempt, refusalReason == null);
		if (refusalReason != null) {
			refuse(call, refusalReason);
			return;
		}
		this.running.put(attempt, new RunningAttempt(call.entry()));
		this.commands.add(new SlotCommand.Run(call.entry(), call.request(), call.attempt(), call.deadlineMillis()));
	}

	private void onCallCancelled(long now, SlotEvent.CallCancelled call) {
		AttemptKey attempt = new AttemptKey(call.request(), call.attempt());
		boolean wasStarted = this.running.containsKey(attempt) || this.history.hasRun(attempt);
		// An entry never reports a cancelled attempt as not run, so the cancellation may
		// be dropped when the history is full.
		if (!wasStarted && this.history.hasCapacity()) {
			this.history.record(now, attempt, false);
		}
	}

	private String refusalReason(long now, SlotEvent.CallReceived call) {
		if (this.draining) {
			return "the target is draining";
		}
		if (!this.zone.acceptsWork()) {
			return "the zone is out of service";
		}
		if (call.deadlineMillis() <= now) {
			return "the deadline has passed";
		}
		if (this.running.size() >= this.policy.maxRunning()) {
			return "every slot is in use";
		}
		return null;
	}

	private void refuse(SlotEvent.CallReceived call, String reason) {
		this.commands.add(new SlotCommand.RefuseNotStarted(call.entry(), call.request(), call.attempt(), reason));
	}

	private void onCallEnded(long now, SlotEvent.CallEnded ended) {
		RunningAttempt run = releaseSlot(now, new AttemptKey(ended.request(), ended.attempt()), true);
		if (run != null) {
			this.commands.add(new SlotCommand.Answer(run.entry(), ended.request(), ended.attempt()));
		}
	}

	private void onCallBroken(long now, SlotEvent.CallBroken broken) {
		AttemptKey attempt = new AttemptKey(broken.request(), broken.attempt());
		RunningAttempt run = releaseSlot(now, attempt, broken.reachedInstance());
		if (run == null) {
			return;
		}
		this.commands.add(broken.reachedInstance()
				? new SlotCommand.AnswerBroken(run.entry(), broken.request(), broken.attempt(), broken.reason())
				: new SlotCommand.RefuseNotStarted(run.entry(), broken.request(), broken.attempt(), broken.reason()));
	}

	// The retention time starts at the end of the attempt, since a copy may arrive while
	// it runs.
	private RunningAttempt releaseSlot(long now, AttemptKey attempt, boolean ran) {
		RunningAttempt run = this.running.remove(attempt);
		if (run != null) {
			this.history.record(now, attempt, ran);
		}
		return run;
	}

	private void startDraining() {
		if (!this.draining) {
			this.draining = true;
			this.commands.add(new SlotCommand.AnnounceDraining());
		}
	}

	private void rebalance() {
		Map<EntryId, Integer> inUse = new TreeMap<>();
		for (RunningAttempt run : this.running.values()) {
			inUse.merge(run.entry(), 1, Integer::sum);
		}
		this.allocator.rebalance(inUse)
			.forEach((entry, slots) -> this.commands.add(new SlotCommand.LendSlots(entry, slots)));
	}

	private void announceDrained() {
		if (this.draining && !this.drained && this.running.isEmpty()) {
			this.drained = true;
			this.commands.add(new SlotCommand.Drained());
		}
	}

	private record RunningAttempt(EntryId entry) {
	}

}
