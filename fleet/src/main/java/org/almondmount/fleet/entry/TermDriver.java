package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EventLoop;
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
 * Executes the commands of the state machine of the term. Confined to the event loop
 * thread.
 */
final class TermDriver {

	private static final EventLog LOG = EventLog.of(TermDriver.class);

	private static final long TICK_INTERVAL_MILLIS = 50;

	private final TermManager manager;

	private final RowStore store;

	private final EventLoop loop;

	private final Telemetry telemetry;

	private final AdaptiveStoreTimeout storeTimeout;

	private final Listener listener;

	private final LongFunction<List<Write>> writesForSequence;

	private Optional<TermRow> holder = Optional.empty();

	private boolean storeAnswering = true;

	/**
	 * Creates a driver that does nothing before {@link #start()}.
	 * @param settings the settings of the term
	 * @param store the store that holds the term row
	 * @param loop the event loop
	 * @param storeTimeout the timeout of store calls
	 * @param telemetry metrics of the process
	 * @param writesForSequence returns the writes to persist for a sequence number
	 * @param listener receives the events of the term
	 */
	TermDriver(TermSettings settings, RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout,
			Telemetry telemetry, LongFunction<List<Write>> writesForSequence, Listener listener) {
		this.manager = new TermManager(settings);
		this.store = store;
		this.loop = loop;
		this.telemetry = telemetry;
		this.storeTimeout = storeTimeout;
		this.writesForSequence = writesForSequence;
		this.listener = listener;
	}

	void start() {
		process(new TermEvent.Tick());
		this.loop.scheduleRepeatedly(TICK_INTERVAL_MILLIS, () -> process(new TermEvent.Tick()));
	}

	/**
	 * Whether this entry may decide at this moment.
	 * @return whether it holds the term and the term is valid by the clock
	 */
	boolean mayDecide() {
		return this.loop.steadyMillis() < this.manager.validUntilMillis();
	}

	long epoch() {
		return this.manager.epoch();
	}

	/**
	 * Returns the last commit of this entry that is in the store.
	 * @return the number of the commit, 0 if there is none
	 */
	long persistedCommit() {
		return this.manager.lastStoredCommit();
	}

	/**
	 * Returns the other entry that was last seen to hold the term.
	 * @return the row of the term
	 */
	Optional<TermRow> holder() {
		return this.holder;
	}

	void persist(long sequence) {
		process(new TermEvent.Save(sequence));
	}

	/**
	 * Handles the announcement of an entry that holds the term.
	 * @param epoch the epoch
	 * @param commit the last commit of the entry that is in the store, 0 if not given
	 * @param entry the name of the entry
	 * @param address the address on which the entry accepts peers
	 */
	void onHolderAnnounced(long epoch, long commit, String entry, String address) {
		if (epoch < this.manager.epoch()) {
			return;
		}
		if (epoch > this.holder.map(TermRow::epoch).orElse(0L)) {
			TermRow announced = new TermRow(entry, address, epoch, 0, 0, false);
			this.holder = Optional.of(announced);
			this.listener.onHolderSeen(announced);
		}
		process(new TermEvent.HolderAnnounced(epoch, commit));
	}

	/**
	 * Handles the certain end of a term: its holder makes no more decisions.
	 * @param epoch the epoch of the term
	 */
	void onHolderResigned(long epoch) {
		process(new TermEvent.HolderResigned(epoch));
	}

	void onHolderLost() {
		process(new TermEvent.HolderLost());
	}

	/**
	 * Reports that the store answers again. If its answers are slow, an unanswered commit
	 * may only be delayed, and nothing is reported.
	 */
	void onStoreAnswering() {
		if (this.storeTimeout.answersQuickly()) {
			process(new TermEvent.StoreRecovered());
		}
	}

	void release() {
		process(new TermEvent.Release());
	}

	private void process(TermEvent event) {
		List<TermCommand> commands = new ArrayList<>(this.manager.handle(this.loop.steadyMillis(), event));
		commands.forEach(this::execute);
	}

	private void execute(TermCommand command) {
		if (command instanceof TermCommand.Read) {
			long sentAtMillis = this.loop.steadyMillis();
			this.loop.onCompletion(
					this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, this.storeTimeout.timeout()),
					(read) -> onTermRowRead(sentAtMillis, read));
		}
		else if (command instanceof TermCommand.Commit commit) {
			commit(commit);
		}
		else if (command instanceof TermCommand.Began began) {
			this.holder = Optional.empty();
			this.telemetry.count("term.began");
			LOG.info("term-began", "epoch", began.epoch());
			this.listener.onTermBegan(began.epoch());
		}
		else if (command instanceof TermCommand.Ended ended) {
			this.telemetry.count("term.ended");
			LOG.warn("term-ended", "epoch", ended.epoch(), "why", ended.reason());
			this.listener.onTermEnded(ended.epoch());
		}
		else if (command instanceof TermCommand.Saved saved) {
			this.listener.onPersisted(saved.sequence());
		}
		else if (command instanceof TermCommand.HolderSeen seen) {
			this.holder = Optional.of(seen.row());
			LOG.info("holder-seen", "holder", seen.row().holder(), "epoch", seen.row().epoch(), "address",
					seen.row().address());
			this.listener.onHolderSeen(seen.row());
		}
		else if (command instanceof TermCommand.Released released) {
			LOG.info("term-released", "epoch", released.epoch());
			if (released.epoch() != 0) {
				this.listener.onTermEnded(released.epoch());
			}
			this.listener.onReleased();
		}
	}

	private void onTermRowRead(long sentAtMillis, RowStore.Read read) {
		if (!(read instanceof RowStore.Read.Found found)) {
			this.storeTimeout.onTimeout();
			recordStoreFailure(read.toString());
			process(new TermEvent.ReadFailed());
			return;
		}
		recordStoreAnswer(sentAtMillis);
		Optional<Row> row = termRow(found.rows());
		Optional<TermRow> termRow = row.flatMap(TermDriver::parse);
		if (row.isPresent() && termRow.isEmpty()) {
			// Without the epoch of the last term, the next one could be below it.
			process(new TermEvent.ReadFailed());
			return;
		}
		process(new TermEvent.RowRead(termRow, row.map(Row::version).orElse(0L)));
	}

	private void commit(TermCommand.Commit commit) {
		List<Write> writes = new ArrayList<>();
		writes.add(new Write(Tables.TERM, Optional.of(RecordCodec.write(commit.row()))));
		if (commit.saveSequence() != 0) {
			writes.addAll(this.writesForSequence.apply(commit.saveSequence()));
		}
		CommitCall call = new CommitCall(commit.row(), writes, this.loop.steadyMillis());
		this.loop.onCompletion(this.store.commit(List.of(new Condition(Tables.TERM, commit.expectedVersion())), writes,
				AdaptiveStoreTimeout.maxTimeout()), (outcome) -> onCommitEnded(call, outcome));
		this.loop.schedule(this.storeTimeout.timeout().toMillis(), () -> onOverdue(call));
	}

	// A lost answer is detected only by a timeout, so the row is read soon. A store
	// executes the commits of a partition one after the other: a second copy sent to a
	// slow store delays the next commit by as long as the first took, and the holder
	// would lose its term through its own copies. So the commit is sent again only if the
	// store answers the read quickly.
	private void onOverdue(CommitCall call) {
		if (call.answered) {
			return;
		}
		logFailedCommit(call, "unanswered", "no answer yet");
		this.storeTimeout.onTimeout();
		recordStoreFailure("no answer yet after " + (this.loop.steadyMillis() - call.sentAtMillis) + " ms");
		long readSentAtMillis = this.loop.steadyMillis();
		this.loop.onCompletion(
				this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, AdaptiveStoreTimeout.maxTimeout()),
				(read) -> onOverdueRead(call, readSentAtMillis, read));
	}

	private void onOverdueRead(CommitCall call, long readSentAtMillis, RowStore.Read read) {
		if (call.answered) {
			return;
		}
		if (!(read instanceof RowStore.Read.Found found)) {
			resend(call);
			return;
		}
		recordStoreAnswer(readSentAtMillis);
		Optional<Row> row = termRow(found.rows());
		if (row.flatMap(TermDriver::parse).filter(call::matches).isPresent()) {
			call.answered = true;
			process(new TermEvent.Committed(call.row.commit(), row.get().version()));
		}
		else if (this.storeTimeout.answersQuickly()) {
			resend(call);
		}
		else {
			process(new TermEvent.CommitDelayed(call.row.commit()));
			this.loop.schedule(this.storeTimeout.timeout().toMillis(), () -> onOverdue(call));
		}
	}

	private void resend(CommitCall call) {
		call.resent = true;
		process(new TermEvent.Unanswered(call.row.commit()));
	}

	private void onUnanswered(CommitCall call, String reason) {
		logFailedCommit(call, "unanswered", reason);
		this.storeTimeout.onTimeout();
		recordStoreFailure(reason + " after " + (this.loop.steadyMillis() - call.sentAtMillis) + " ms");
		process(new TermEvent.Unanswered(call.row.commit()));
	}

	private void onCommitEnded(CommitCall call, RowStore.Commit outcome) {
		call.answered = true;
		long commitNumber = call.row.commit();
		if (outcome instanceof RowStore.Commit.Committed committed) {
			recordStoreAnswer(call.sentAtMillis);
			process(new TermEvent.Committed(commitNumber, committed.version()));
		}
		else if (outcome instanceof RowStore.Commit.Conflict conflict) {
			recordStoreAnswer(call.sentAtMillis);
			Optional<Row> row = termRow(conflict.current());
			process(new TermEvent.Conflict(commitNumber, row.flatMap(TermDriver::parse),
					row.map(Row::version).orElse(0L)));
		}
		else if (call.resent) {
			return;
		}
		else if (outcome instanceof RowStore.Commit.Refused refused) {
			recordStoreFailure(refused.why());
			logFailedCommit(call, "refused", refused.why());
			process(new TermEvent.CommitRefused(commitNumber));
		}
		else if (outcome instanceof RowStore.Commit.Unanswered unanswered) {
			onUnanswered(call, unanswered.why());
		}
	}

	// A term ends when its commits fail. Only the kind of failure and the size of the
	// commits distinguish a slow store from one that rejects this entry, and from a
	// holder that is slow itself.
	private void logFailedCommit(CommitCall call, String outcome, String reason) {
		LOG.warn("term-commit-" + outcome, "epoch", this.manager.epoch(), "commit", call.row.commit(), "rows",
				call.rows, "bytes", call.bytes, "millis", this.loop.steadyMillis() - call.sentAtMillis, "why", reason);
	}

	private void recordStoreFailure(String reason) {
		this.telemetry.count("term.store-failed");
		if (this.storeAnswering) {
			this.storeAnswering = false;
			LOG.warn("dependency-lost", "what", "store", "why", reason);
		}
	}

	private void recordStoreAnswer(long sentAtMillis) {
		this.storeTimeout.onAnswer(this.loop.steadyMillis() - sentAtMillis);
		if (!this.storeAnswering) {
			this.storeAnswering = true;
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
	 * One copy of a commit sent to the store.
	 */
	private static final class CommitCall {

		private final TermRow row;

		private final int rows;

		private final int bytes;

		private final long sentAtMillis;

		private boolean answered;

		/** Whether the commit was sent again. */
		private boolean resent;

		CommitCall(TermRow row, List<Write> writes, long sentAtMillis) {
			this.row = row;
			this.rows = writes.size();
			this.bytes = writes.stream().mapToInt((write) -> write.value().map(String::length).orElse(0)).sum();
			this.sentAtMillis = sentAtMillis;
		}

		boolean matches(TermRow found) {
			return found.holder().equals(this.row.holder()) && found.commit() == this.row.commit();
		}

	}

	/**
	 * Receives the events of the term, on the event loop thread.
	 */
	interface Listener {

		void onTermBegan(long epoch);

		/**
		 * Called when this entry no longer decides, because it lost or released the term.
		 * @param epoch the epoch of the term
		 */
		void onTermEnded(long epoch);

		void onPersisted(long sequence);

		void onHolderSeen(TermRow row);

		/** Called when this entry holds no term and will take none. */
		void onReleased();

	}

}
