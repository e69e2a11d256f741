package org.almondmount.term;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides when this entry takes the term, keeps it and loses it, and carries what has to
 * be kept in the same commits that renew it. Deterministic; not thread-safe.
 * <p>
 * Each commit holds only if the row is as the holder's last commit left it. So nothing of
 * a former holder takes effect after its successor's first commit, however late the store
 * carries it out. A commit that was not answered is sent again unchanged: if the first
 * one took effect the second finds its number in the row, and otherwise only one of the
 * two can.
 * <p>
 * A holder whose term was not renewed in time decides nothing, and goes on if its next
 * commit still takes effect: then nobody has taken the term meanwhile.
 * <p>
 * Why no two terms overlap: a holder counts its validity from before it sent a commit.
 * Others take the term only after they saw the row unchanged for the whole length by
 * their own clock, which began after that commit took effect.
 */
public final class TermKeeper {

	/** The value of {@link #validUntilMillis()} outside of a term. */
	public static final long NEVER = Long.MIN_VALUE;

	/**
	 * Pause before a commit is sent again that was unanswered before, in milliseconds. A
	 * store that resets each call would be called as fast as it does.
	 */
	private static final long UNANSWERED_PAUSE_MILLIS = 50;

	/**
	 * Entries take a free term in turns, one read after the other. A slow store carries
	 * their commits out one by one, and all but the first of them in vain.
	 */
	private static final int TURNS = 6;

	/** Pause before a refused commit is sent again, in milliseconds. */
	private static final long REFUSED_PAUSE_MILLIS = 120;

	private final TermSettings settings;

	private final TermLength length;

	/** When this entry takes a free term, in times of a read after the others. */
	private final int turn;

	/**
	 * A holder whose commits are refused for so long gives the term up, in milliseconds:
	 * the store may turn away this entry alone.
	 */
	private static final long REFUSED_HAND_OVER_MILLIS = 600;

	/**
	 * A holder whom the store does not answer for so long gives the term up, in
	 * milliseconds.
	 */
	private static final long SILENT_HAND_OVER_MILLIS = 950;

	/**
	 * A holder whom the store answers slowly waits so long for a commit, in milliseconds:
	 * the others would fare no better, and one that takes over has to commit too.
	 */
	private static final long SLOW_HAND_OVER_MILLIS = 2_400;

	private List<TermCommand> commands = new ArrayList<>();

	private Optional<TermRow> row = Optional.empty();

	private long version = -1;

	private long unchangedSince;

	private boolean looked;

	private long lookedAt;

	/** A row that was read before its holder spoke last may have changed since. */
	private boolean lookedSinceWord;

	private long lookSentAt;

	private long readMillis;

	private long nextLook = Long.MIN_VALUE;

	private long holderHeardAt = Long.MIN_VALUE;

	/** What the holder said last, and when it said so for the first time. */
	private TermEvent.HolderHeard lastWord = new TermEvent.HolderHeard(0, 0);

	private long lastWordAt;

	/** The number of this entry's last commit that is in the store. */
	private long keptCommit;

	private long epoch;

	/** A term that was taken while this entry is told to end never begins. */
	private boolean begun;

	private long validUntil = NEVER;

	private long nextRenewal;

	private long lastCommit;

	private Optional<TermCommand.Commit> pending = Optional.empty();

	private boolean inFlight;

	/** Whether the store refused the pending commit at least once. */
	private boolean commitRefused;

	private boolean unansweredBefore;

	/** Whether the store answers, and has not carried the pending commit out yet. */
	private boolean commitDelayed;

	private long sentAt;

	private long resendAt;

	private long wantedSave;

	private long quitEpoch;

	private boolean releasing;

	private boolean released;

	public TermKeeper(TermSettings settings) {
		this.settings = settings;
		this.length = new TermLength(settings.lengthMillis());
		this.turn = Math.floorMod(settings.self().hashCode(), TURNS);
	}

	/**
	 * Until when this entry may decide. A driver compares it with its clock right before
	 * each effect: a process that was paused finds out so.
	 * @return a time of the driver's clock, or {@link #NEVER}
	 */
	public long validUntilMillis() {
		return this.begun ? this.validUntil : NEVER;
	}

	/**
	 * The epoch of the term that this entry holds.
	 * @return the epoch, 0 outside of a term
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * This entry's last commit that is in the store.
	 * @return its number, 0 where there is none
	 */
	public long keptCommit() {
		return this.keptCommit;
	}

	/**
	 * Takes one event.
	 * @param now the driver's steady clock in milliseconds
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	public List<TermCommand> handle(long now, TermEvent event) {
		this.commands = new ArrayList<>();
		take(now, event);
		act(now);
		return this.commands;
	}

	private void take(long now, TermEvent event) {
		if (event instanceof TermEvent.RowRead read) {
			this.inFlight = false;
			this.readMillis = now - this.lookSentAt;
			observe(now, read.row(), read.version());
		}
		else if (event instanceof TermEvent.ReadFailed) {
			this.inFlight = false;
		}
		else if (event instanceof TermEvent.Committed committed) {
			committed(now, committed.commit(), committed.version());
		}
		else if (event instanceof TermEvent.Conflict conflict) {
			conflict(now, conflict);
		}
		else if (event instanceof TermEvent.Refused refused) {
			this.commitRefused = true;
			again(now, refused.commit(), REFUSED_PAUSE_MILLIS);
		}
		else if (event instanceof TermEvent.Unanswered unanswered) {
			again(now, unanswered.commit(), this.unansweredBefore ? UNANSWERED_PAUSE_MILLIS : 0);
			this.unansweredBefore = true;
		}
		else if (event instanceof TermEvent.Delayed delayed) {
			this.commitDelayed |= this.pending.filter((commit) -> commit.row().commit() == delayed.commit())
				.isPresent();
		}
		else if (event instanceof TermEvent.HolderHeard heard) {
			holderHeard(now, heard);
		}
		else if (event instanceof TermEvent.HolderQuit quit) {
			holderQuit(now, quit.epoch());
		}
		else if (event instanceof TermEvent.HolderLost) {
			this.lookedSinceWord = false;
			this.holderHeardAt = Long.MIN_VALUE;
			this.nextLook = now;
		}
		else if (event instanceof TermEvent.StoreAnswers) {
			storeAnswers(now);
		}
		else if (event instanceof TermEvent.Save save) {
			this.wantedSave = save.sequence();
		}
		else if (event instanceof TermEvent.Release) {
			this.releasing = true;
		}
	}

	private void holderHeard(long now, TermEvent.HolderHeard said) {
		this.lookedSinceWord = false;
		if (said.epoch() >= this.row.map(TermRow::epoch).orElse(0L)) {
			this.holderHeardAt = now;
		}
		if (!said.equals(this.lastWord)) {
			this.lastWord = said;
			this.lastWordAt = now;
		}
	}

	// A commit that its holder spoke of was in the store by then, so that the row need
	// not have been read to know since when it is unchanged.
	private long unchangedSince(long now, Optional<TermRow> read) {
		boolean spokenOf = read
			.filter((row) -> row.commit() != 0 && row.epoch() == this.lastWord.epoch()
					&& row.commit() == this.lastWord.commit())
			.isPresent();
		return spokenOf ? this.lastWordAt : now;
	}

	// What was sent into the silence is lost. Waiting for its answer would leave the
	// installation without a holder, or the holder without its commit, for up to a second
	// after the store's return.
	private void storeAnswers(long now) {
		this.inFlight = false;
		this.resendAt = now;
		this.nextLook = now;
	}

	private void holderQuit(long now, long epochLeft) {
		if (epochLeft <= this.quitEpoch || this.epoch > epochLeft) {
			return;
		}
		this.quitEpoch = epochLeft;
		this.holderHeardAt = Long.MIN_VALUE;
		this.looked = false;
		this.nextLook = now;
	}

	private void observe(long now, Optional<TermRow> read, long readVersion) {
		this.looked = true;
		this.lookedAt = now;
		this.lookedSinceWord = true;
		if (readVersion != this.version) {
			this.version = readVersion;
			this.unchangedSince = unchangedSince(now, read);
			read.filter((other) -> !isOwn(other) && !other.released())
				.ifPresent((other) -> this.commands.add(new TermCommand.HolderSeen(other)));
		}
		this.row = read;
	}

	private void committed(long now, long commit, long newVersion) {
		if (this.pending.isEmpty() || this.pending.get().row().commit() != commit) {
			return;
		}
		TermCommand.Commit done = this.pending.get();
		this.pending = Optional.empty();
		this.inFlight = false;
		this.row = Optional.of(done.row());
		this.version = newVersion;
		this.unchangedSince = now;
		if (done.row().released()) {
			this.released = true;
			this.epoch = 0;
			this.begun = false;
			this.commands.add(new TermCommand.Released(done.row().epoch()));
			return;
		}
		this.keptCommit = commit;
		this.length.committed(now - this.sentAt);
		long lengthMillis = done.row().lengthMillis();
		long until = this.sentAt + TermLength.validForMillis(lengthMillis);
		if (now < until) {
			this.validUntil = until;
		}
		else if (this.epoch == 0) {
			return;
		}
		this.nextRenewal = this.sentAt + TermLength.renewAfterMillis(lengthMillis);
		if (this.epoch == 0) {
			this.epoch = done.row().epoch();
			this.wantedSave = 0;
			begin();
		}
		else if (done.save() != 0) {
			this.commands.add(new TermCommand.Saved(done.save()));
		}
	}

	private void begin() {
		if (!this.releasing) {
			this.begun = true;
			this.commands.add(new TermCommand.Began(this.epoch));
		}
	}

	private void conflict(long now, TermEvent.Conflict conflict) {
		if (this.pending.isEmpty() || this.pending.get().row().commit() != conflict.commit()) {
			return;
		}
		boolean wasOwn = conflict.row()
			.map((found) -> isOwn(found) && found.commit() == conflict.commit())
			.orElse(false);
		if (wasOwn) {
			committed(now, conflict.commit(), conflict.version());
			return;
		}
		this.pending = Optional.empty();
		this.inFlight = false;
		if (this.epoch != 0) {
			end("another entry took it");
		}
		observe(now, conflict.row(), conflict.version());
	}

	// A commit is sent again as it is, at first at once and then with the pause; a
	// challenger's is dropped, since whoever holds the term may have changed.
	private void again(long now, long commit, long pause) {
		if (this.pending.isEmpty() || this.pending.get().row().commit() != commit) {
			return;
		}
		this.inFlight = false;
		this.resendAt = now + pause;
		if (this.epoch == 0) {
			this.pending = Optional.empty();
			this.looked = false;
			this.nextLook = now + pause;
		}
	}

	private void end(String why) {
		this.commands.add(new TermCommand.Ended(this.epoch, why));
		this.epoch = 0;
		this.begun = false;
		this.validUntil = NEVER;
		this.wantedSave = 0;
		this.pending = Optional.empty();
		this.inFlight = false;
		this.looked = false;
		this.holderHeardAt = Long.MIN_VALUE;
	}

	private void act(long now) {
		if (this.released) {
			return;
		}
		if (this.epoch != 0) {
			hold(now);
			return;
		}
		if (this.releasing) {
			releaseOnceSettled();
			return;
		}
		if (!this.inFlight) {
			follow(now);
		}
	}

	// A commit that takes the term may be on its way. Were it left alone, the row would
	// name an entry that is gone, and the others would wait for the whole length.
	private void releaseOnceSettled() {
		if (this.pending.isEmpty()) {
			this.released = true;
			this.commands.add(new TermCommand.Released(0));
		}
	}

	// Others who reach the store take the term at once when they are told; this entry
	// looks at it a little later, in case that nobody reaches the store.
	private void handOver(long now) {
		this.quitEpoch = this.epoch;
		end("the store does not take this entry's commits");
		this.nextLook = now + this.settings.lookEveryMillis();
	}

	private long handOverMillis() {
		if (this.commitRefused) {
			return REFUSED_HAND_OVER_MILLIS;
		}
		return (this.commitDelayed || this.length.slow()) ? SLOW_HAND_OVER_MILLIS : SILENT_HAND_OVER_MILLIS;
	}

	private void hold(long now) {
		if (this.pending.isPresent() && now - this.sentAt >= handOverMillis()) {
			handOver(now);
			return;
		}
		if (this.inFlight) {
			return;
		}
		if (this.pending.isPresent()) {
			if (now >= this.resendAt) {
				send(now, this.pending.get(), false);
			}
			return;
		}
		if (this.wantedSave != 0 || now >= this.nextRenewal || this.releasing) {
			boolean release = this.releasing && this.wantedSave == 0;
			long save = this.wantedSave;
			this.wantedSave = 0;
			TermRow next = new TermRow(this.settings.self(), this.settings.address(), this.epoch, ++this.lastCommit,
					this.length.millis(), release);
			send(now, new TermCommand.Commit(next, this.version, save), true);
		}
	}

	private void follow(long now) {
		boolean quiet = this.holderHeardAt == Long.MIN_VALUE || now - this.holderHeardAt >= this.settings.quietMillis();
		if (this.looked && this.lookedSinceWord && quiet && mayTake(now)) {
			long next = this.row.map(TermRow::epoch).orElse(0L) + 1;
			TermRow taken = new TermRow(this.settings.self(), this.settings.address(), next, ++this.lastCommit,
					this.length.millis(), false);
			send(now, new TermCommand.Commit(taken, Math.max(0, this.version), 0), true);
			return;
		}
		if (now >= this.nextLook && (quiet || !this.looked)) {
			this.inFlight = true;
			this.lookSentAt = now;
			this.nextLook = now + this.settings.lookEveryMillis();
			this.commands.add(new TermCommand.Look());
		}
	}

	private boolean mayTake(long now) {
		if (this.row.isEmpty()) {
			return true;
		}
		TermRow current = this.row.get();
		// The same address means the same VM: the process that wrote the row is gone,
		// since this one listens there now.
		if (isOwn(current) || current.address().equals(this.settings.address())) {
			return true;
		}
		boolean left = current.released() || current.epoch() <= this.quitEpoch;
		long free = left ? this.lookedAt : this.unchangedSince + current.lengthMillis();
		return now >= free + this.turn * this.readMillis;
	}

	private void send(long now, TermCommand.Commit commit, boolean first) {
		this.inFlight = true;
		this.pending = Optional.of(commit);
		if (first) {
			this.sentAt = now;
			this.commitRefused = false;
			this.unansweredBefore = false;
			this.commitDelayed = false;
		}
		this.commands.add(commit);
	}

	private boolean isOwn(TermRow found) {
		return found.holder().equals(this.settings.self());
	}

}
