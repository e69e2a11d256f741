package org.almondmount.term;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides when this entry takes, renews and loses the term, and writes the data that has
 * to be stored in the same commits that renew it. Deterministic; not thread-safe.
 * <p>
 * Each commit is conditional on the row that the holder's previous commit wrote. A commit
 * of a former holder therefore takes no effect after the first commit of its successor,
 * however late the store executes it. A commit that was not answered is sent again
 * unchanged: if the first one took effect, the second finds its number in the row;
 * otherwise at most one of the two can take effect.
 * <p>
 * A holder whose term was not renewed in time decides nothing. It continues if its next
 * commit still takes effect, because then no other entry has taken the term in the
 * meantime.
 * <p>
 * Two terms never overlap. A holder counts its validity from before it sent a commit.
 * Other entries take the term only after they saw the row unchanged for the whole length
 * by their own clock, counted from after that commit took effect.
 */
public final class TermManager {

	/** The value of {@link #validUntilMillis()} while no term is held. */
	public static final long NOT_HELD = Long.MIN_VALUE;

	/**
	 * Pause before a commit is sent again after it was unanswered twice, in milliseconds.
	 * Without it, a store that resets each call would be called in a tight loop.
	 */
	private static final long UNANSWERED_RETRY_PAUSE_MILLIS = 50;

	/**
	 * Number of turns in which entries try to take a free term, each one read later than
	 * the previous. A slow store executes their commits one by one, and all but the first
	 * of them are in vain.
	 */
	private static final int TAKEOVER_TURN_COUNT = 6;

	/** Pause before a refused commit is sent again, in milliseconds. */
	private static final long REFUSED_RETRY_PAUSE_MILLIS = 120;

	private final TermSettings settings;

	private final TermLength termLength;

	/**
	 * The turn in which this entry takes a free term, in multiples of the time of a read.
	 */
	private final int takeoverTurn;

	/**
	 * Time after which a holder whose commits are refused resigns, in milliseconds: the
	 * store may refuse the commits of this entry only.
	 */
	private static final long REFUSED_COMMIT_HAND_OVER_MILLIS = 600;

	/**
	 * Time after which a holder resigns if the store does not answer its commit, in
	 * milliseconds.
	 */
	private static final long SILENT_STORE_HAND_OVER_MILLIS = 950;

	/**
	 * Time after which a holder resigns if the store answers slowly, in milliseconds. It
	 * is longer because other entries are served no better, and a successor has to commit
	 * too.
	 */
	private static final long SLOW_STORE_HAND_OVER_MILLIS = 2_400;

	private List<TermCommand> commands = new ArrayList<>();

	private Optional<TermRow> row = Optional.empty();

	private long version = -1;

	private long unchangedSince;

	private boolean rowRead;

	private long rowReadAt;

	/**
	 * Whether the row was read after the holder's last announcement; an earlier row may
	 * have changed since.
	 */
	private boolean rowReadSinceAnnouncement;

	private long readSentAt;

	private long lastReadMillis;

	private long nextReadAt = Long.MIN_VALUE;

	private long holderAnnouncedAt = Long.MIN_VALUE;

	/**
	 * The last announcement of the holder; its content has not changed since
	 * {@link #lastAnnouncementChangedAt}.
	 */
	private TermEvent.HolderAnnounced lastAnnouncement = new TermEvent.HolderAnnounced(0, 0);

	private long lastAnnouncementChangedAt;

	/** The number of this entry's last commit that is in the store. */
	private long lastStoredCommit;

	private long epoch;

	/**
	 * Whether the term has begun; a term that was taken while this entry shuts down never
	 * begins.
	 */
	private boolean termBegun;

	private long validUntil = NOT_HELD;

	private long nextRenewalAt;

	private long lastCommitNumber;

	private Optional<TermCommand.Commit> pendingCommit = Optional.empty();

	private boolean requestInFlight;

	/** Whether the store refused the pending commit at least once. */
	private boolean commitRefused;

	private boolean commitUnanswered;

	/** Whether the store answers but has not executed the pending commit yet. */
	private boolean commitDelayed;

	private long commitSentAt;

	private long resendAt;

	private long requestedSave;

	private long resignedEpoch;

	private boolean releasing;

	private boolean released;

	public TermManager(TermSettings settings) {
		this.settings = settings;
		this.termLength = new TermLength(settings.lengthMillis());
		this.takeoverTurn = Math.floorMod(settings.self().hashCode(), TAKEOVER_TURN_COUNT);
	}

	/**
	 * Returns until when this entry may decide. The driver compares it with its clock
	 * immediately before each effect: after a pause of the process the term may have
	 * expired.
	 * @return a time of the driver's clock, or {@link #NOT_HELD}
	 */
	public long validUntilMillis() {
		return this.termBegun ? this.validUntil : NOT_HELD;
	}

	/**
	 * Returns the epoch of the term that this entry holds.
	 * @return the epoch, 0 while it holds none
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Returns the number of this entry's last commit that is in the store.
	 * @return its number, 0 if there is none
	 */
	public long lastStoredCommit() {
		return this.lastStoredCommit;
	}

	/**
	 * Handles one event.
	 * @param now the driver's monotonic clock in milliseconds
	 * @param event the event
	 * @return the commands to execute, in order
	 */
	public List<TermCommand> handle(long now, TermEvent event) {
		this.commands = new ArrayList<>();
		dispatch(now, event);
		issueCommands(now);
		return this.commands;
	}

	private void dispatch(long now, TermEvent event) {
		if (event instanceof TermEvent.RowRead read) {
			this.requestInFlight = false;
			this.lastReadMillis = now - this.readSentAt;
			observeRow(now, read.row(), read.version());
		}
		else if (event instanceof TermEvent.ReadFailed) {
			this.requestInFlight = false;
		}
		else if (event instanceof TermEvent.Committed committed) {
			handleCommitted(now, committed.commitNumber(), committed.version());
		}
		else if (event instanceof TermEvent.Conflict conflict) {
			handleConflict(now, conflict);
		}
		else if (event instanceof TermEvent.CommitRefused refused) {
			this.commitRefused = true;
			scheduleRetry(now, refused.commitNumber(), REFUSED_RETRY_PAUSE_MILLIS);
		}
		else if (event instanceof TermEvent.Unanswered unanswered) {
			scheduleRetry(now, unanswered.commitNumber(), this.commitUnanswered ? UNANSWERED_RETRY_PAUSE_MILLIS : 0);
			this.commitUnanswered = true;
		}
		else if (event instanceof TermEvent.CommitDelayed delayed) {
			this.commitDelayed |= this.pendingCommit.filter((commit) -> commit.row().commit() == delayed.commitNumber())
				.isPresent();
		}
		else if (event instanceof TermEvent.HolderAnnounced announced) {
			handleAnnouncement(now, announced);
		}
		else if (event instanceof TermEvent.HolderResigned resigned) {
			handleResignation(now, resigned.epoch());
		}
		else if (event instanceof TermEvent.HolderLost) {
			this.rowReadSinceAnnouncement = false;
			this.holderAnnouncedAt = Long.MIN_VALUE;
			this.nextReadAt = now;
		}
		else if (event instanceof TermEvent.StoreRecovered) {
			handleStoreRecovery(now);
		}
		else if (event instanceof TermEvent.Save save) {
			this.requestedSave = save.sequence();
		}
		else if (event instanceof TermEvent.Release) {
			this.releasing = true;
		}
	}

	private void handleAnnouncement(long now, TermEvent.HolderAnnounced announced) {
		this.rowReadSinceAnnouncement = false;
		if (announced.epoch() >= this.row.map(TermRow::epoch).orElse(0L)) {
			this.holderAnnouncedAt = now;
		}
		if (!announced.equals(this.lastAnnouncement)) {
			this.lastAnnouncement = announced;
			this.lastAnnouncementChangedAt = now;
		}
	}

	// A commit was in the store by the time its holder announced it. The row therefore
	// counts as unchanged since the announcement, even if it was read only later.
	private long unchangedSince(long now, Optional<TermRow> read) {
		boolean announced = read
			.filter((row) -> row.commit() != 0 && row.epoch() == this.lastAnnouncement.epoch()
					&& row.commit() == this.lastAnnouncement.commitNumber())
			.isPresent();
		return announced ? this.lastAnnouncementChangedAt : now;
	}

	// Requests that were sent while the store did not answer are lost. Waiting for their
	// answers would leave the installation without a holder, or the holder without its
	// commit, for up to a second after the store has recovered.
	private void handleStoreRecovery(long now) {
		this.requestInFlight = false;
		this.resendAt = now;
		this.nextReadAt = now;
	}

	private void handleResignation(long now, long newResignedEpoch) {
		if (newResignedEpoch <= this.resignedEpoch || this.epoch > newResignedEpoch) {
			return;
		}
		this.resignedEpoch = newResignedEpoch;
		this.holderAnnouncedAt = Long.MIN_VALUE;
		this.rowRead = false;
		this.nextReadAt = now;
	}

	private void observeRow(long now, Optional<TermRow> read, long readVersion) {
		this.rowRead = true;
		this.rowReadAt = now;
		this.rowReadSinceAnnouncement = true;
		if (readVersion != this.version) {
			this.version = readVersion;
			this.unchangedSince = unchangedSince(now, read);
			read.filter((other) -> !isOwn(other) && !other.released())
				.ifPresent((other) -> this.commands.add(new TermCommand.HolderSeen(other)));
		}
		this.row = read;
	}

	private void handleCommitted(long now, long commitNumber, long newVersion) {
		if (this.pendingCommit.isEmpty() || this.pendingCommit.get().row().commit() != commitNumber) {
			return;
		}
		TermCommand.Commit completed = this.pendingCommit.get();
		this.pendingCommit = Optional.empty();
		this.requestInFlight = false;
		this.row = Optional.of(completed.row());
		this.version = newVersion;
		this.unchangedSince = now;
		if (completed.row().released()) {
			this.released = true;
			this.epoch = 0;
			this.termBegun = false;
			this.commands.add(new TermCommand.Released(completed.row().epoch()));
			return;
		}
		this.lastStoredCommit = commitNumber;
		this.termLength.recordCommit(now - this.commitSentAt);
		long lengthMillis = completed.row().lengthMillis();
		long committedUntil = this.commitSentAt + TermLength.validForMillis(lengthMillis);
		if (now < committedUntil) {
			this.validUntil = committedUntil;
		}
		else if (this.epoch == 0) {
			return;
		}
		this.nextRenewalAt = this.commitSentAt + TermLength.renewAfterMillis(lengthMillis);
		if (this.epoch == 0) {
			this.epoch = completed.row().epoch();
			this.requestedSave = 0;
			beginTerm();
		}
		else if (completed.saveSequence() != 0) {
			this.commands.add(new TermCommand.Saved(completed.saveSequence()));
		}
	}

	private void beginTerm() {
		if (!this.releasing) {
			this.termBegun = true;
			this.commands.add(new TermCommand.Began(this.epoch));
		}
	}

	private void handleConflict(long now, TermEvent.Conflict conflict) {
		if (this.pendingCommit.isEmpty() || this.pendingCommit.get().row().commit() != conflict.commitNumber()) {
			return;
		}
		boolean tookEffect = conflict.row()
			.map((found) -> isOwn(found) && found.commit() == conflict.commitNumber())
			.orElse(false);
		if (tookEffect) {
			handleCommitted(now, conflict.commitNumber(), conflict.version());
			return;
		}
		this.pendingCommit = Optional.empty();
		this.requestInFlight = false;
		if (this.epoch != 0) {
			endTerm("another entry took the term");
		}
		observeRow(now, conflict.row(), conflict.version());
	}

	// Retries a commit unchanged, the first time at once and then after the pause. The
	// commit of an entry that tries to take the term is dropped, because the holder may
	// have changed.
	private void scheduleRetry(long now, long commitNumber, long pauseMillis) {
		if (this.pendingCommit.isEmpty() || this.pendingCommit.get().row().commit() != commitNumber) {
			return;
		}
		this.requestInFlight = false;
		this.resendAt = now + pauseMillis;
		if (this.epoch == 0) {
			this.pendingCommit = Optional.empty();
			this.rowRead = false;
			this.nextReadAt = now + pauseMillis;
		}
	}

	private void endTerm(String reason) {
		this.commands.add(new TermCommand.Ended(this.epoch, reason));
		this.epoch = 0;
		this.termBegun = false;
		this.validUntil = NOT_HELD;
		this.requestedSave = 0;
		this.pendingCommit = Optional.empty();
		this.requestInFlight = false;
		this.rowRead = false;
		this.holderAnnouncedAt = Long.MIN_VALUE;
	}

	private void issueCommands(long now) {
		if (this.released) {
			return;
		}
		if (this.epoch != 0) {
			holdTerm(now);
			return;
		}
		if (this.releasing) {
			releaseUnlessCommitPending();
			return;
		}
		if (!this.requestInFlight) {
			followHolder(now);
		}
	}

	// A commit that takes the term may be in flight. If it were ignored, the row would
	// name an entry that is gone and the other entries would wait for the whole length.
	private void releaseUnlessCommitPending() {
		if (this.pendingCommit.isEmpty()) {
			this.released = true;
			this.commands.add(new TermCommand.Released(0));
		}
	}

	// Other entries that reach the store take the term as soon as they receive the
	// resignation. This entry reads the row a little later, in case no other entry
	// reaches the store.
	private void handOver(long now) {
		this.resignedEpoch = this.epoch;
		endTerm("the store does not accept this entry's commits");
		this.nextReadAt = now + this.settings.readIntervalMillis();
	}

	private long handOverTimeoutMillis() {
		if (this.commitRefused) {
			return REFUSED_COMMIT_HAND_OVER_MILLIS;
		}
		return (this.commitDelayed || this.termLength.areCommitsSlow()) ? SLOW_STORE_HAND_OVER_MILLIS
				: SILENT_STORE_HAND_OVER_MILLIS;
	}

	private void holdTerm(long now) {
		if (this.pendingCommit.isPresent() && now - this.commitSentAt >= handOverTimeoutMillis()) {
			handOver(now);
			return;
		}
		if (this.requestInFlight) {
			return;
		}
		if (this.pendingCommit.isPresent()) {
			if (now >= this.resendAt) {
				sendCommit(now, this.pendingCommit.get(), false);
			}
			return;
		}
		if (this.requestedSave != 0 || now >= this.nextRenewalAt || this.releasing) {
			boolean release = this.releasing && this.requestedSave == 0;
			long saveSequence = this.requestedSave;
			this.requestedSave = 0;
			TermRow nextRow = new TermRow(this.settings.self(), this.settings.address(), this.epoch,
					++this.lastCommitNumber, this.termLength.millis(), release);
			sendCommit(now, new TermCommand.Commit(nextRow, this.version, saveSequence), true);
		}
	}

	private void followHolder(long now) {
		boolean holderSilent = this.holderAnnouncedAt == Long.MIN_VALUE
				|| now - this.holderAnnouncedAt >= this.settings.holderSilenceMillis();
		if (this.rowRead && this.rowReadSinceAnnouncement && holderSilent && mayTakeTerm(now)) {
			long nextEpoch = this.row.map(TermRow::epoch).orElse(0L) + 1;
			TermRow nextRow = new TermRow(this.settings.self(), this.settings.address(), nextEpoch,
					++this.lastCommitNumber, this.termLength.millis(), false);
			sendCommit(now, new TermCommand.Commit(nextRow, Math.max(0, this.version), 0), true);
			return;
		}
		if (now >= this.nextReadAt && (holderSilent || !this.rowRead)) {
			this.requestInFlight = true;
			this.readSentAt = now;
			this.nextReadAt = now + this.settings.readIntervalMillis();
			this.commands.add(new TermCommand.Read());
		}
	}

	private boolean mayTakeTerm(long now) {
		if (this.row.isEmpty()) {
			return true;
		}
		TermRow current = this.row.get();
		// The same address means the same VM: the process that wrote the row is gone,
		// because this process listens there now.
		if (isOwn(current) || current.address().equals(this.settings.address())) {
			return true;
		}
		boolean givenUp = current.released() || current.epoch() <= this.resignedEpoch;
		long freeAt = givenUp ? this.rowReadAt : this.unchangedSince + current.lengthMillis();
		return now >= freeAt + this.takeoverTurn * this.lastReadMillis;
	}

	private void sendCommit(long now, TermCommand.Commit commit, boolean firstTime) {
		this.requestInFlight = true;
		this.pendingCommit = Optional.of(commit);
		if (firstTime) {
			this.commitSentAt = now;
			this.commitRefused = false;
			this.commitUnanswered = false;
			this.commitDelayed = false;
		}
		this.commands.add(commit);
	}

	private boolean isOwn(TermRow found) {
		return found.holder().equals(this.settings.self());
	}

}
