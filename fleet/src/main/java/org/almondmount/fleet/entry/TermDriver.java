package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.model.InvalidValueException;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Condition;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.rows.RowStore.Write;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.term.TermCommand;
import org.almondmount.term.TermEvent;
import org.almondmount.term.TermManager;
import org.almondmount.term.TermRow;
import org.almondmount.term.TermSettings;

/**
 * Carries out the decisions about the term. Belongs to the loop's thread.
 */
final class TermDriver {

	private static final EventLog LOG = EventLog.of(TermDriver.class);

	private static final long TICK_MILLIS = 50;

	private final TermManager keeper;

	private final RowStore store;

	private final Loop loop;

	private final Telemetry telemetry;

	private final StorePatience patience;

	private final Listener listener;

	private final LongFunction<List<Write>> saves;

	private Optional<TermRow> holder = Optional.empty();

	private boolean storeAnswers = true;

	/**
	 * Makes a driver that does nothing before {@link #start()}.
	 * @param settings how this entry takes part
	 * @param store where the row lies
	 * @param loop the thread
	 * @param patience how long the store is waited for
	 * @param telemetry the process's metrics
	 * @param saves the writes of a save, by its sequence
	 * @param listener hears of the term
	 */
	TermDriver(TermSettings settings, RowStore store, Loop loop, StorePatience patience, Telemetry telemetry,
			LongFunction<List<Write>> saves, Listener listener) {
		this.keeper = new TermManager(settings);
		this.store = store;
		this.loop = loop;
		this.telemetry = telemetry;
		this.patience = patience;
		this.saves = saves;
		this.listener = listener;
	}

	void start() {
		feed(new TermEvent.Tick());
		this.loop.every(TICK_MILLIS, () -> feed(new TermEvent.Tick()));
	}

	/**
	 * Whether this entry may decide at this very moment.
	 * @return whether it holds the term and the term is valid by the clock
	 */
	boolean mayDecide() {
		return this.loop.steadyMillis() < this.keeper.validUntilMillis();
	}

	long epoch() {
		return this.keeper.epoch();
	}

	/**
	 * This entry's last commit that is in the store.
	 * @return its number, 0 where there is none
	 */
	long keptCommit() {
		return this.keeper.lastStoredCommit();
	}

	/**
	 * The other entry that was last seen to hold the term.
	 * @return its row
	 */
	Optional<TermRow> holder() {
		return this.holder;
	}

	void save(long sequence) {
		feed(new TermEvent.Save(sequence));
	}

	/**
	 * An entry says that it holds the term.
	 * @param epoch the epoch
	 * @param commit its last commit that is in the store, 0 where it does not say
	 * @param entry its name
	 * @param address where it accepts peers
	 */
	void holderHeard(long epoch, long commit, String entry, String address) {
		if (epoch < this.keeper.epoch()) {
			return;
		}
		if (epoch > this.holder.map(TermRow::epoch).orElse(0L)) {
			TermRow heard = new TermRow(entry, address, epoch, 0, 0, false);
			this.holder = Optional.of(heard);
			this.listener.holderSeen(heard);
		}
		feed(new TermEvent.HolderAnnounced(epoch, commit));
	}

	/**
	 * The holder of an epoch surely decides nothing any more.
	 * @param epoch the epoch
	 */
	void holderQuit(long epoch) {
		feed(new TermEvent.HolderResigned(epoch));
	}

	void holderLost() {
		feed(new TermEvent.HolderLost());
	}

	/** The store answers again. A commit that it has not answered may only be slow. */
	void storeAnswers() {
		if (this.patience.answersQuickly()) {
			feed(new TermEvent.StoreRecovered());
		}
	}

	void release() {
		feed(new TermEvent.Release());
	}

	private void feed(TermEvent event) {
		List<TermCommand> commands = new ArrayList<>(this.keeper.handle(this.loop.steadyMillis(), event));
		commands.forEach(this::carryOut);
	}

	private void carryOut(TermCommand command) {
		if (command instanceof TermCommand.Read) {
			long sentAt = this.loop.steadyMillis();
			this.loop.then(this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, this.patience.timeout()),
					(read) -> looked(sentAt, read));
		}
		else if (command instanceof TermCommand.Commit commit) {
			commit(commit);
		}
		else if (command instanceof TermCommand.Began began) {
			this.holder = Optional.empty();
			this.telemetry.count("term.began");
			LOG.info("term-began", "epoch", began.epoch());
			this.listener.began(began.epoch());
		}
		else if (command instanceof TermCommand.Ended ended) {
			this.telemetry.count("term.ended");
			LOG.warn("term-ended", "epoch", ended.epoch(), "why", ended.reason());
			this.listener.ended(ended.epoch());
		}
		else if (command instanceof TermCommand.Saved saved) {
			this.listener.saved(saved.sequence());
		}
		else if (command instanceof TermCommand.HolderSeen seen) {
			this.holder = Optional.of(seen.row());
			LOG.info("holder-seen", "holder", seen.row().holder(), "epoch", seen.row().epoch(), "address",
					seen.row().address());
			this.listener.holderSeen(seen.row());
		}
		else if (command instanceof TermCommand.Released released) {
			LOG.info("term-released", "epoch", released.epoch());
			if (released.epoch() != 0) {
				this.listener.ended(released.epoch());
			}
			this.listener.released();
		}
	}

	private void looked(long sentAt, RowStore.Read read) {
		if (!(read instanceof RowStore.Read.Found found)) {
			this.patience.silent();
			storeSilent(read.toString());
			feed(new TermEvent.ReadFailed());
			return;
		}
		storeAnswered(sentAt);
		Optional<Row> row = termRow(found.rows());
		feed(new TermEvent.RowRead(row.flatMap(TermDriver::parse), row.map(Row::version).orElse(0L)));
	}

	private void commit(TermCommand.Commit commit) {
		List<Write> writes = new ArrayList<>();
		writes.add(new Write(Tables.TERM, Optional.of(RecordCodec.write(commit.row()))));
		if (commit.saveSequence() != 0) {
			writes.addAll(this.saves.apply(commit.saveSequence()));
		}
		CommitCall call = new CommitCall(commit.row(), writes, this.loop.steadyMillis());
		this.loop.then(this.store.commit(List.of(new Condition(Tables.TERM, commit.expectedVersion())), writes,
				StorePatience.longest()), (ending) -> ended(call, ending));
		this.loop.after(this.patience.timeout().toMillis(), () -> overdue(call));
	}

	// A lost answer is found out only by waiting, so the row is read soon. A store takes
	// the commits of a part one after the other: a second copy that is sent to a slow one
	// holds up the next commit by as much as the first took, and the holder loses its
	// term by its own copies. So only a store that answers the read quickly is sent the
	// commit again.
	private void overdue(CommitCall call) {
		if (call.answered) {
			return;
		}
		explain(call, "unanswered", "no answer yet");
		this.patience.silent();
		storeSilent("no answer yet after " + (this.loop.steadyMillis() - call.sentAt) + " ms");
		long askedAt = this.loop.steadyMillis();
		this.loop.then(this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, StorePatience.longest()),
				(read) -> settle(call, askedAt, read));
	}

	private void settle(CommitCall call, long askedAt, RowStore.Read read) {
		if (call.answered) {
			return;
		}
		if (!(read instanceof RowStore.Read.Found found)) {
			sendAgain(call);
			return;
		}
		storeAnswered(askedAt);
		Optional<Row> row = termRow(found.rows());
		if (row.flatMap(TermDriver::parse).filter(call::wrote).isPresent()) {
			call.answered = true;
			feed(new TermEvent.Committed(call.row.commit(), row.get().version()));
		}
		else if (this.patience.answersQuickly()) {
			sendAgain(call);
		}
		else {
			feed(new TermEvent.CommitDelayed(call.row.commit()));
			this.loop.after(this.patience.timeout().toMillis(), () -> overdue(call));
		}
	}

	private void sendAgain(CommitCall call) {
		call.overdue = true;
		feed(new TermEvent.Unanswered(call.row.commit()));
	}

	private void unanswered(CommitCall call, String why) {
		explain(call, "unanswered", why);
		this.patience.silent();
		storeSilent(why + " after " + (this.loop.steadyMillis() - call.sentAt) + " ms");
		feed(new TermEvent.Unanswered(call.row.commit()));
	}

	private void ended(CommitCall call, RowStore.Commit ending) {
		call.answered = true;
		long number = call.row.commit();
		if (ending instanceof RowStore.Commit.Committed committed) {
			storeAnswered(call.sentAt);
			feed(new TermEvent.Committed(number, committed.version()));
		}
		else if (ending instanceof RowStore.Commit.Conflict conflict) {
			storeAnswered(call.sentAt);
			Optional<Row> row = termRow(conflict.current());
			feed(new TermEvent.Conflict(number, row.flatMap(TermDriver::parse), row.map(Row::version).orElse(0L)));
		}
		else if (call.overdue) {
			return;
		}
		else if (ending instanceof RowStore.Commit.Refused refused) {
			storeSilent(refused.why());
			explain(call, "refused", refused.why());
			feed(new TermEvent.CommitRefused(number));
		}
		else if (ending instanceof RowStore.Commit.Unanswered unanswered) {
			unanswered(call, unanswered.why());
		}
	}

	// A term ends by its commits. Which of them failed, and how large they were, is all
	// that tells a slow store from one that turns this entry away, and from a holder that
	// is slow itself.
	private void explain(CommitCall call, String ending, String why) {
		LOG.warn("term-commit-" + ending, "epoch", this.keeper.epoch(), "commit", call.row.commit(), "rows", call.rows,
				"bytes", call.bytes, "millis", this.loop.steadyMillis() - call.sentAt, "why", why);
	}

	private void storeSilent(String why) {
		this.telemetry.count("term.store-failed");
		if (this.storeAnswers) {
			this.storeAnswers = false;
			LOG.warn("dependency-lost", "what", "store", "why", why);
		}
	}

	private void storeAnswered(long sentAt) {
		this.patience.answered(this.loop.steadyMillis() - sentAt);
		if (!this.storeAnswers) {
			this.storeAnswers = true;
			LOG.info("dependency-regained", "what", "store");
		}
	}

	private static Optional<Row> termRow(List<Row> rows) {
		return rows.stream().filter((row) -> row.place().equals(Tables.TERM)).findFirst();
	}

	private static Optional<TermRow> parse(Row row) {
		try {
			return row.value().map(RecordCodec::readTerm);
		}
		catch (InvalidValueException ex) {
			LOG.warn("term-row-unreadable", "why", ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * One copy of a commit on its way to the store.
	 */
	private static final class CommitCall {

		private final TermRow row;

		private final int rows;

		private final int bytes;

		private final long sentAt;

		private boolean answered;

		/** Whether it was sent again meanwhile. */
		private boolean overdue;

		CommitCall(TermRow row, List<Write> writes, long sentAt) {
			this.row = row;
			this.rows = writes.size();
			this.bytes = writes.stream().mapToInt((write) -> write.value().map(String::length).orElse(0)).sum();
			this.sentAt = sentAt;
		}

		boolean wrote(TermRow found) {
			return found.holder().equals(this.row.holder()) && found.commit() == this.row.commit();
		}

	}

	/**
	 * Hears of the term, on the loop's thread.
	 */
	interface Listener {

		void began(long epoch);

		/**
		 * This entry no longer decides, whether it lost the term or gave it up.
		 * @param epoch the epoch of the term
		 */
		void ended(long epoch);

		void saved(long sequence);

		void holderSeen(TermRow row);

		/** This entry takes no term any more and holds none. */
		void released();

	}

}
