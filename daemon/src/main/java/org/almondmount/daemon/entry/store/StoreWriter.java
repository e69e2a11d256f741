package org.almondmount.daemon.entry.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;

import org.almondmount.daemon.entry.shell.Alarm;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.services.TableService;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.telemetry.Telemetry;

/**
 * Writes operations to the table in batches, in order, one transaction a batch, paced so
 * that bursts stay under the table's rate. Thread-safe; its state is owned by the store's
 * duty.
 * <p>
 * A transaction with a lost answer is settled by its token before the next one is sent if
 * at most one may be under way; so a holder's writes take effect in the order of its
 * decisions.
 */
public final class StoreWriter {

	private static final int MOST_WRITES_A_BATCH = 64;

	private static final long SETTLE_EVERY_MILLIS = 250;

	private static final long PAUSE_MILLIS = 500;

	private final TableService table;

	private final Mailbox mailbox;

	private final MonotonicClock clock;

	private final Telemetry telemetry;

	private final Alarm alarm;

	private final String tokenPrefix;

	private final int mostUnderWay;

	private final TransactionPace pace;

	private final Deque<StoreOperation> waiting = new ArrayDeque<>();

	private final List<Unsettled> unsettled = new ArrayList<>();

	private volatile int waitingCount;

	private volatile boolean closed;

	private long pausedUntil;

	private int underWay;

	private long transactions;

	/**
	 * Makes a writer.
	 * @param table the table
	 * @param mailbox the store's duty
	 * @param clock the clock
	 * @param timer keeps time
	 * @param telemetry counts transactions
	 * @param tokenPrefix unique for this writer in this run of this process
	 * @param mostUnderWay transactions that may be under way; 1 keeps their order
	 * @param transactionsPerSecond the pace, bursts of one second included
	 */
	public StoreWriter(TableService table, Mailbox mailbox, MonotonicClock clock, ScheduledExecutorService timer,
			Telemetry telemetry, String tokenPrefix, int mostUnderWay, int transactionsPerSecond) {
		this.table = table;
		this.mailbox = mailbox;
		this.clock = clock;
		this.telemetry = telemetry;
		this.tokenPrefix = tokenPrefix;
		this.mostUnderWay = mostUnderWay;
		this.pace = new TransactionPace(transactionsPerSecond);
		this.alarm = new Alarm(timer, clock, mailbox, this::proceed);
	}

	/**
	 * Hands over an operation. Its ending is always told, except when the process ends
	 * first.
	 * @param operation the operation
	 */
	public void submit(StoreOperation operation) {
		this.mailbox.deliver(() -> {
			this.waiting.add(operation);
			proceed();
		});
	}

	/**
	 * Operations that wait to be sent.
	 * @return a count, a moment old
	 */
	public int waiting() {
		return this.waitingCount;
	}

	/**
	 * Sends nothing more and tells nobody anything more.
	 */
	public void close() {
		this.closed = true;
	}

	private void proceed() {
		if (this.closed) {
			return;
		}
		long now = this.clock.millis();
		settleDue(now);
		expire(now);
		if (now < this.pausedUntil) {
			this.alarm.at(this.pausedUntil);
			this.waitingCount = this.waiting.size();
			return;
		}
		while (this.underWay < this.mostUnderWay && !this.waiting.isEmpty()) {
			long wait = this.pace.waitMillis(now);
			if (wait > 0) {
				this.alarm.at(now + wait);
				break;
			}
			send(now);
		}
		this.waitingCount = this.waiting.size();
	}

	private void expire(long now) {
		long next = Long.MAX_VALUE;
		for (Iterator<StoreOperation> each = this.waiting.iterator(); each.hasNext();) {
			StoreOperation operation = each.next();
			if (now >= operation.giveUpAtMillis()) {
				each.remove();
				operation.ended().accept(new CommitResult.NotCommitted("its time passed before it was sent"));
			}
			else {
				next = Math.min(next, operation.giveUpAtMillis());
			}
		}
		if (next != Long.MAX_VALUE) {
			this.alarm.at(next);
		}
	}

	private void send(long now) {
		StoreBatch batch = new StoreBatch();
		while (!this.waiting.isEmpty() && batch.writeCount() < MOST_WRITES_A_BATCH
				&& batch.add(this.waiting.peekFirst())) {
			this.waiting.removeFirst();
		}
		this.pace.spend(now);
		this.underWay++;
		this.telemetry.count("store.transactions");
		String token = this.tokenPrefix + "-" + ++this.transactions;
		CompletableFuture<CommitResult> answer = this.table.commit(batch.transaction(token));
		answer.thenAccept((result) -> this.mailbox.deliver(() -> answered(batch, token, result)));
	}

	private void answered(StoreBatch batch, String token, CommitResult result) {
		if (this.closed) {
			return;
		}
		long now = this.clock.millis();
		if (result instanceof CommitResult.Unknown unknown) {
			this.telemetry.count("store.unknown");
			batch.giveUp(now, unknown.reason());
			this.unsettled.add(new Unsettled(batch, token, now + SETTLE_EVERY_MILLIS));
			this.alarm.at(now + SETTLE_EVERY_MILLIS);
			return;
		}
		this.underWay--;
		List<StoreOperation> again = batch.end(result);
		if (result instanceof CommitResult.NotCommitted) {
			this.telemetry.count("store.not-committed");
			this.pausedUntil = again.isEmpty() ? now : now + PAUSE_MILLIS;
		}
		for (int i = again.size() - 1; i >= 0; i--) {
			this.waiting.addFirst(again.get(i));
		}
		proceed();
	}

	private void settleDue(long now) {
		for (Unsettled each : List.copyOf(this.unsettled)) {
			if (now < each.settleAt()) {
				this.alarm.at(each.settleAt());
				continue;
			}
			this.unsettled.remove(each);
			this.table.resolve(each.token())
				.thenAccept((result) -> this.mailbox.deliver(() -> answered(each.batch(), each.token(), result)));
		}
	}

	private record Unsettled(StoreBatch batch, String token, long settleAt) {
	}

}
