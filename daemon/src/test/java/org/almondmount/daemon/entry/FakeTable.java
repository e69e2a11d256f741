package org.almondmount.daemon.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.almondmount.services.TableService;

/**
 * A table in memory with faults. Thread-safe.
 */
final class FakeTable implements TableService {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Set<String> committed = new HashSet<>();

	private final Set<String> cancelled = new HashSet<>();

	private final List<Transaction> transactions = new ArrayList<>();

	private boolean away;

	private boolean settling = true;

	private Predicate<Transaction> losesAnswer = (transaction) -> false;

	/**
	 * Has the table answer nothing, or answer again.
	 * @param isAway whether it is away
	 */
	synchronized void away(boolean isAway) {
		this.away = isAway;
	}

	/**
	 * Transactions that take effect while their answer is lost and, until
	 * {@link #settle()}, can't be found out about.
	 * @param which those
	 */
	synchronized void loseAnswers(Predicate<Transaction> which) {
		this.losesAnswer = which;
		this.settling = false;
	}

	synchronized void settle() {
		this.losesAnswer = (transaction) -> false;
		this.settling = true;
	}

	synchronized Optional<Row> row(String key) {
		return Optional.ofNullable(this.rows.get(key));
	}

	synchronized List<String> keys(String prefix) {
		List<String> keys = new ArrayList<>();
		for (String key : this.rows.keySet()) {
			if (key.startsWith(prefix)) {
				keys.add(key);
			}
		}
		return keys;
	}

	synchronized int transactionsThat(Predicate<Transaction> which) {
		return (int) this.transactions.stream().filter(which).count();
	}

	/**
	 * Whether a transaction writes a row whose key starts so.
	 * @param prefix the prefix
	 * @return the test
	 */
	static Predicate<Transaction> writing(String prefix) {
		return (transaction) -> transaction.writes().stream().anyMatch((write) -> write.key().startsWith(prefix));
	}

	@Override
	public synchronized CompletableFuture<ReadResult<Optional<Row>>> read(String key) {
		return CompletableFuture
			.completedFuture(this.away ? new ReadResult.Unavailable<>("away") : new ReadResult.Found<>(row(key)));
	}

	@Override
	public synchronized CompletableFuture<ReadResult<List<Row>>> scan(String prefix) {
		if (this.away) {
			return CompletableFuture.completedFuture(new ReadResult.Unavailable<>("away"));
		}
		List<Row> found = new ArrayList<>();
		keys(prefix).forEach((key) -> found.add(this.rows.get(key)));
		return CompletableFuture.completedFuture(new ReadResult.Found<>(found));
	}

	@Override
	public synchronized CompletableFuture<CommitResult> commit(Transaction transaction) {
		if (this.away) {
			return CompletableFuture.completedFuture(new CommitResult.NotCommitted("away"));
		}
		for (Condition condition : transaction.conditions()) {
			long actual = row(condition.key()).map(Row::version).orElse(0L);
			if (actual != condition.version()) {
				return CompletableFuture.completedFuture(new CommitResult.Conflict(condition.key(), actual));
			}
		}
		transaction.writes().forEach(this::write);
		this.committed.add(transaction.token());
		this.transactions.add(transaction);
		return CompletableFuture.completedFuture(this.losesAnswer.test(transaction)
				? new CommitResult.Unknown("the answer was lost") : new CommitResult.Committed());
	}

	@Override
	public synchronized CompletableFuture<CommitResult> resolve(String token) {
		if (this.away || !this.settling) {
			return CompletableFuture.completedFuture(new CommitResult.Unknown("the table does not answer"));
		}
		if (this.committed.contains(token)) {
			return CompletableFuture.completedFuture(new CommitResult.Committed());
		}
		this.cancelled.add(token);
		return CompletableFuture.completedFuture(new CommitResult.NotCommitted("cancelled"));
	}

	private void write(Write write) {
		if (write.value().isEmpty()) {
			this.rows.remove(write.key());
			return;
		}
		long version = row(write.key()).map(Row::version).orElse(0L) + 1;
		this.rows.put(write.key(), new Row(write.key(), version, write.value().get()));
	}

}
