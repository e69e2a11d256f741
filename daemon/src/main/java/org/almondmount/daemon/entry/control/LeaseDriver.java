package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.Alarm;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.EpochRow;
import org.almondmount.lease.LeaseCommand;
import org.almondmount.lease.LeaseEvent;
import org.almondmount.lease.LeaseManager;
import org.almondmount.lease.LeaseRow;
import org.almondmount.lease.LeaseSettings;
import org.almondmount.lease.impl.ObservedLeaseManager;
import org.almondmount.model.EntryId;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.services.TableService.Transaction;
import org.almondmount.services.TableService.Write;
import org.almondmount.telemetry.EventLog;

/**
 * Carries out the decisions about the scheduler's lease. Owned by the control duty.
 */
final class LeaseDriver {

	private static final EventLog LOG = EventLog.of(LeaseDriver.class);

	private static final long TICK_MILLIS = 200;

	private final EntryContext context;

	private final Mailbox mailbox;

	private final Listener listener;

	private final LeaseManager keeper;

	private final Alarm alarm;

	private final String leaseKey;

	private CompletableFuture<Void> released;

	LeaseDriver(EntryContext context, Mailbox mailbox, Listener listener) {
		this.context = context;
		this.mailbox = mailbox;
		this.listener = listener;
		this.leaseKey = Keys.lease(context.settings().region());
		this.keeper = new ObservedLeaseManager(new LeaseSettings(context.self(), context.peerAddress(),
				context.settings().timing().schedulerLease().toMillis()));
		this.alarm = new Alarm(context.timer(), context.clock(), mailbox, () -> feed(new LeaseEvent.Tick()));
	}

	void start() {
		this.alarm.every(TICK_MILLIS);
	}

	/**
	 * For how much longer this entry may surely act as holder, by the clock at this very
	 * moment.
	 * @return milliseconds, 0 if it may not
	 */
	long remainingMillis() {
		long until = this.keeper.validUntilMillis();
		if (until == LeaseManager.NOT_HELD) {
			return 0;
		}
		return Math.max(0, until - this.context.clock().millis());
	}

	boolean mayAct() {
		return remainingMillis() > 0;
	}

	/**
	 * Gives the lease up.
	 * @return completes when it was given up or was not held
	 */
	CompletableFuture<Void> release() {
		this.released = new CompletableFuture<>();
		CompletableFuture<Void> done = this.released;
		feed(new LeaseEvent.Release());
		return done;
	}

	private void feed(LeaseEvent event) {
		List<LeaseCommand> commands = new ArrayList<>(this.keeper.handle(this.context.clock().millis(), event));
		commands.forEach(this::carryOut);
	}

	private void carryOut(LeaseCommand command) {
		if (command instanceof LeaseCommand.Read) {
			this.context.table().read(this.leaseKey).thenAccept((read) -> this.mailbox.deliver(() -> found(read)));
		}
		else if (command instanceof LeaseCommand.Commit commit) {
			commit(commit);
		}
		else if (command instanceof LeaseCommand.BecameHolder became) {
			LOG.info("lease-taken", "epoch", became.epoch());
			this.context.telemetry().count("lease.taken");
			this.listener.becameHolder(became.epoch());
		}
		else if (command instanceof LeaseCommand.SteppedDown stepped) {
			LOG.warn("lease-lost", "epoch", stepped.epoch(), "why", stepped.reason());
			this.context.telemetry().count("lease.lost");
			this.listener.steppedDown(stepped.epoch());
		}
		else if (command instanceof LeaseCommand.HolderSeen seen) {
			this.listener.holderSeen(seen.holder(), seen.epoch(), seen.address());
		}
		else if (command instanceof LeaseCommand.Released && this.released != null) {
			this.released.complete(null);
		}
		else if (command instanceof LeaseCommand.WakeAt wake) {
			this.alarm.at(wake.atMillis());
		}
	}

	private void commit(LeaseCommand.Commit commit) {
		List<Write> writes = new ArrayList<>();
		writes.add(new Write(this.leaseKey, Optional.of(Json.write(commit.row()))));
		if (commit.takeover()) {
			EpochRow epoch = new EpochRow(commit.row().epoch(), this.context.self());
			writes.add(new Write(Keys.epoch(this.context.settings().region()), Optional.of(Json.write(epoch))));
		}
		String token = this.context.self() + ".lease-" + commit.commitNumber();
		this.context.table()
			.commit(new Transaction(token, List.of(new Condition(this.leaseKey, commit.expectedVersion())), writes))
			.thenAccept((result) -> this.mailbox
				.deliver(() -> feed(new LeaseEvent.CommitEnded(commit.commitNumber(), ending(result)))));
	}

	private void found(ReadResult<Optional<Row>> read) {
		if (!(read instanceof ReadResult.Found<Optional<Row>> rows)) {
			feed(new LeaseEvent.ReadFailed());
			return;
		}
		if (rows.rows().isEmpty()) {
			feed(new LeaseEvent.RowRead(Optional.empty(), 0));
			return;
		}
		Row row = rows.rows().get();
		try {
			LeaseRow lease = Json.readRow(row.key(), row.value(), LeaseRow.class);
			feed(new LeaseEvent.RowRead(Optional.of(lease), row.version()));
		}
		catch (DocumentException ex) {
			LOG.fault("lease-row-unreadable", ex);
			feed(new LeaseEvent.ReadFailed());
		}
	}

	private static LeaseEvent.CommitOutcome ending(CommitResult result) {
		if (result instanceof CommitResult.Committed) {
			return LeaseEvent.CommitOutcome.COMMITTED;
		}
		if (result instanceof CommitResult.Unknown) {
			return LeaseEvent.CommitOutcome.UNKNOWN;
		}
		return LeaseEvent.CommitOutcome.NOT_COMMITTED;
	}

	/**
	 * Hears about the lease, on the control duty.
	 */
	interface Listener {

		void becameHolder(long epoch);

		void steppedDown(long epoch);

		void holderSeen(EntryId holder, long epoch, String address);

	}

}
