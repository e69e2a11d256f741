package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.EpochRow;
import org.almondmount.daemon.entry.store.Rows.HistoryRow;
import org.almondmount.daemon.entry.store.Rows.JobRow;
import org.almondmount.model.Configuration;
import org.almondmount.model.JobId;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.telemetry.EventLog;

/**
 * Reads what the former holder left, before a new holder decides anything. Thread-safe;
 * tells the control duty.
 */
final class TermKeeper {

	private static final EventLog LOG = EventLog.of(TermKeeper.class);

	private static final long READ_AGAIN_MILLIS = 200;

	private final EntryContext context;

	private final Mailbox mailbox;

	TermKeeper(EntryContext context, Mailbox mailbox) {
		this.context = context;
		this.mailbox = mailbox;
	}

	/**
	 * Reads until everything is there.
	 * @param epoch the epoch under which this entry became holder
	 * @param listener told of the rows on the control duty
	 */
	void read(long epoch, Listener listener) {
		String region = this.context.settings().region();
		CompletableFuture<ReadResult<Optional<Row>>> fence = this.context.table().read(Keys.epoch(region));
		CompletableFuture<ReadResult<Optional<Row>>> configuration = this.context.table()
			.read(Keys.configuration(region));
		CompletableFuture<ReadResult<List<Row>>> jobs = this.context.table().scan(Keys.JOBS);
		CompletableFuture<ReadResult<List<Row>>> history = this.context.table().scan(Keys.HISTORY);
		CompletableFuture.allOf(fence, configuration, jobs, history)
			.thenRun(() -> this.mailbox.deliver(
					() -> found(epoch, listener, fence.join(), configuration.join(), jobs.join(), history.join())));
	}

	private void found(long epoch, Listener listener, ReadResult<Optional<Row>> fence,
			ReadResult<Optional<Row>> configuration, ReadResult<List<Row>> jobs, ReadResult<List<Row>> history) {
		if (!listener.isCurrent(epoch)) {
			return;
		}
		if (!(fence instanceof ReadResult.Found<Optional<Row>> fenceRow)
				|| !(configuration instanceof ReadResult.Found<Optional<Row>> configurationRow)
				|| !(jobs instanceof ReadResult.Found<List<Row>> jobRows)
				|| !(history instanceof ReadResult.Found<List<Row>> historyRows) || fenceRow.rows().isEmpty()) {
			this.context.timer().schedule(() -> read(epoch, listener), READ_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		Row row = fenceRow.rows().get();
		EpochRow owner = Json.readRow(row.key(), row.value(), EpochRow.class);
		if (owner.epoch() != epoch || !owner.holder().equals(this.context.self())) {
			LOG.warn("takeover-overtaken", "epoch", epoch, "by", owner.holder(), "their-epoch", owner.epoch());
			return;
		}
		listener.inherited(epoch, new Inheritance(new Condition(row.key(), row.version()),
				ConfigurationDriver.read(configurationRow.rows()), jobs(jobRows.rows()), history(historyRows.rows())));
	}

	private static List<JobRecord> jobs(List<Row> rows) {
		List<JobRecord> jobs = new ArrayList<>();
		for (Row row : rows) {
			try {
				JobId id = new JobId(row.key().substring(Keys.JOBS.length()));
				jobs.add(JobRecord.read(id, Json.readRow(row.key(), row.value(), JobRow.class)));
			}
			catch (DocumentException ex) {
				LOG.fault("job-row-unreadable", ex, "key", row.key());
			}
		}
		jobs.sort(Comparator.comparingLong(JobRecord::submitted).thenComparing(JobRecord::id));
		return jobs;
	}

	private static List<HistoryRow> history(List<Row> rows) {
		List<HistoryRow> lines = new ArrayList<>();
		rows.forEach((row) -> lines.add(Json.readRow(row.key(), row.value(), HistoryRow.class)));
		return lines;
	}

	/**
	 * What a new holder starts from.
	 *
	 * @param fence the condition under which this holder's writes take effect
	 * @param configuration the accepted configuration
	 * @param jobs all jobs, in the order in which they were submitted
	 * @param history what operators changed
	 */
	record Inheritance(Condition fence, Configuration configuration, List<JobRecord> jobs, List<HistoryRow> history) {
	}

	/**
	 * Hears what was read.
	 */
	interface Listener {

		boolean isCurrent(long epoch);

		void inherited(long epoch, Inheritance inheritance);

	}

}
