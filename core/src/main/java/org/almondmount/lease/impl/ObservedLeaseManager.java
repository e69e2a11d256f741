package org.almondmount.lease.impl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.lease.LeaseCommand;
import org.almondmount.lease.LeaseEvent;
import org.almondmount.lease.LeaseManager;
import org.almondmount.lease.LeaseRow;
import org.almondmount.lease.LeaseSettings;

/**
 * A lease manager that takes the lease over only after it has observed the row unchanged
 * for the whole length of the lease by its own clock. Deterministic; not thread-safe.
 * <p>
 * The validity of two holders never overlaps. A holder counts its validity from before it
 * sent the renewal. An observer counts from when it read the row that the renewal wrote,
 * which is later, waits for the whole length, and then commits on the condition that the
 * row is unchanged. A commit with an unknown outcome grants nothing until the row is read
 * with the number of that commit in it.
 */
public final class ObservedLeaseManager implements LeaseManager {

	private static final int MAX_REMEMBERED_COMMITS = 32;

	private final LeaseSettings settings;

	private final Map<Long, Long> commitSentAt = new LinkedHashMap<>();

	private long lastCommitNumber;

	private boolean requestOutstanding;

	private boolean versionKnown;

	private long version = -1;

	private Optional<LeaseRow> row = Optional.empty();

	private long unchangedSince;

	private long epoch;

	private long lastHeldEpoch;

	private long validUntil = NOT_HELD;

	private long nextRequestAt = Long.MIN_VALUE;

	private long earliestTakeoverAt = Long.MIN_VALUE;

	private boolean releasing;

	private boolean released;

	private List<LeaseCommand> commands = new ArrayList<>();

	public ObservedLeaseManager(LeaseSettings settings) {
		this.settings = settings;
	}

	@Override
	public long validUntilMillis() {
		return (this.epoch != 0) ? this.validUntil : NOT_HELD;
	}

	@Override
	public long epoch() {
		return this.epoch;
	}

	@Override
	public List<LeaseCommand> handle(long nowMillis, LeaseEvent event) {
		this.commands = new ArrayList<>();
		stepDownIfExpired(nowMillis);
		if (event instanceof LeaseEvent.RowRead read) {
			this.requestOutstanding = false;
			observeRow(nowMillis, read);
		}
		else if (event instanceof LeaseEvent.ReadFailed) {
			this.requestOutstanding = false;
		}
		else if (event instanceof LeaseEvent.CommitEnded ended) {
			handleCommitEnded(nowMillis, ended);
		}
		else if (event instanceof LeaseEvent.Release) {
			this.releasing = true;
		}
		issueCommands(nowMillis);
		return this.commands;
	}

	private void stepDownIfExpired(long now) {
		if (this.epoch != 0 && now >= this.validUntil) {
			stepDown("the lease was not renewed in time");
		}
	}

	private void stepDown(String reason) {
		this.commands.add(new LeaseCommand.SteppedDown(this.epoch, reason));
		this.epoch = 0;
		this.validUntil = NOT_HELD;
	}

	private void observeRow(long now, LeaseEvent.RowRead read) {
		boolean changed = read.version() != this.version;
		this.versionKnown = true;
		this.version = read.version();
		this.row = read.row();
		if (changed) {
			this.unchangedSince = now;
		}
		if (this.row.isEmpty()) {
			return;
		}
		LeaseRow current = this.row.get();
		if (isOwn(current)) {
			if (!current.released()) {
				applyGrant(now, current);
			}
			return;
		}
		if (this.epoch != 0) {
			stepDown("entry " + current.holder() + " took over the lease under epoch " + current.epoch());
		}
		if (changed && !current.released()) {
			this.commands.add(new LeaseCommand.HolderSeen(current.holder(), current.epoch(), current.address()));
		}
	}

	// The row contains the number of the commit that wrote it. This resolves the outcome
	// of a commit whose answer was lost.
	private void applyGrant(long now, LeaseRow ownRow) {
		Long sentAt = this.commitSentAt.get(ownRow.commit());
		if (sentAt == null) {
			return;
		}
		long grantedUntil = sentAt + this.settings.validForMillis();
		if (this.epoch == ownRow.epoch()) {
			this.validUntil = Math.max(this.validUntil, grantedUntil);
			return;
		}
		if (ownRow.epoch() > this.lastHeldEpoch && grantedUntil > now && !this.releasing) {
			this.epoch = ownRow.epoch();
			this.lastHeldEpoch = this.epoch;
			this.validUntil = grantedUntil;
			this.commands.add(new LeaseCommand.BecameHolder(this.epoch));
		}
	}

	private void handleCommitEnded(long now, LeaseEvent.CommitEnded ended) {
		this.requestOutstanding = false;
		this.versionKnown = false;
		this.nextRequestAt = now;
		if (ended.outcome() != LeaseEvent.CommitOutcome.COMMITTED) {
			this.earliestTakeoverAt = now + this.settings.renewalIntervalMillis();
			return;
		}
		this.row.filter((written) -> written.commit() == ended.commitNumber() && isOwn(written))
			.ifPresent((written) -> {
				if (written.released()) {
					this.released = true;
				}
				else {
					applyGrant(now, written);
				}
			});
	}

	private void issueCommands(long now) {
		if (this.released || (this.releasing && this.epoch == 0 && !this.requestOutstanding)) {
			this.commands.add(new LeaseCommand.Released());
			this.released = true;
			return;
		}
		if (!this.requestOutstanding) {
			issueRequest(now);
		}
		scheduleWake(now);
	}

	private void issueRequest(long now) {
		if (!this.versionKnown) {
			if (now >= this.nextRequestAt) {
				sendRead(now);
			}
			return;
		}
		if (this.releasing) {
			commitRelease(now);
			return;
		}
		if (this.epoch != 0) {
			if (now >= this.nextRequestAt) {
				commitHolding(now, this.epoch, false);
			}
			return;
		}
		if (mayTakeOver(now)) {
			commitHolding(now, this.row.map(LeaseRow::epoch).orElse(0L) + 1, true);
			return;
		}
		if (now >= this.nextRequestAt) {
			sendRead(now);
		}
	}

	private boolean mayTakeOver(long now) {
		if (now < this.earliestTakeoverAt) {
			return false;
		}
		if (this.row.isEmpty()) {
			return true;
		}
		LeaseRow current = this.row.get();
		if (current.released() || isOwn(current)) {
			return true;
		}
		return now - this.unchangedSince >= current.lengthMillis();
	}

	private void sendRead(long now) {
		this.requestOutstanding = true;
		this.nextRequestAt = now + this.settings.renewalIntervalMillis();
		this.commands.add(new LeaseCommand.Read());
	}

	private void commitHolding(long now, long newEpoch, boolean takeover) {
		sendCommit(now, new LeaseRow(this.settings.self(), newEpoch, this.settings.lengthMillis(),
				++this.lastCommitNumber, this.settings.address(), false), takeover);
	}

	// The holder steps down before the commit is sent: once the commit has taken effect,
	// another entry may act at once.
	private void commitRelease(long now) {
		long heldEpoch = this.epoch;
		stepDown("the entry is shutting down");
		sendCommit(now, new LeaseRow(this.settings.self(), heldEpoch, this.settings.lengthMillis(),
				++this.lastCommitNumber, this.settings.address(), true), false);
	}

	private void sendCommit(long now, LeaseRow next, boolean takeover) {
		this.requestOutstanding = true;
		this.nextRequestAt = now + this.settings.renewalIntervalMillis();
		this.commitSentAt.put(next.commit(), now);
		this.commitSentAt.keySet().removeIf((number) -> number <= next.commit() - MAX_REMEMBERED_COMMITS);
		this.row = Optional.of(next);
		this.commands.add(new LeaseCommand.Commit(next.commit(), next, this.version, takeover));
	}

	private void scheduleWake(long now) {
		long wakeAt = Math.max(this.nextRequestAt, now + 1);
		if (this.epoch != 0) {
			wakeAt = Math.min(wakeAt, this.validUntil);
		}
		else if (this.versionKnown && this.row.isPresent()) {
			long takeoverAt = Math.max(this.earliestTakeoverAt, this.unchangedSince + this.row.get().lengthMillis());
			if (takeoverAt > now) {
				wakeAt = Math.min(wakeAt, takeoverAt);
			}
		}
		this.commands.add(new LeaseCommand.WakeAt(wakeAt));
	}

	private boolean isOwn(LeaseRow current) {
		return current.holder().equals(this.settings.self());
	}

}
