package org.almondmount.fleet.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Tables;
import org.almondmount.rows.RowStore;

/**
 * The rows of a simulated store. Each process has its own {@link Client}, which can be
 * disconnected.
 */
final class SimStore {

	private static final long ANSWER_LATENCY_MILLIS = 4;

	private static final long TRANSACTION_DURATION_MILLIS = 5;

	/** A partition whose queue of transactions is longer than this refuses more. */
	private static final long MAX_QUEUE_MILLIS = 1_000;

	private static final long FEED_TIMEOUT_MILLIS = 1_000;

	private static final long MAX_COMMIT_DELAY_MILLIS = 6_000;

	private final SimulationClock clock;

	private final Random random;

	private final TreeMap<String, RowStore.Row> rows = new TreeMap<>();

	private final Map<String, Long> commitCounts = new HashMap<>();

	private long version;

	/** Share of commits whose answer is lost; half of those are executed late. */
	private double lostShare;

	private boolean unavailable;

	/** Time after which commits are executed without an answer, or 0. */
	private long unansweredCommitDelayMillis;

	private long answerLatencyMillis = ANSWER_LATENCY_MILLIS;

	/**
	 * Time for which a transaction occupies its partition; 0 for partitions that execute
	 * any number of transactions at once.
	 */
	private long transactionDurationMillis;

	private final Map<String, Long> busyUntil = new HashMap<>();

	SimStore(SimulationClock time, Random random) {
		this.clock = time;
		this.random = random;
	}

	void setLostShare(double share) {
		this.lostShare = share;
	}

	/**
	 * Executes the commits from now on late and without an answer.
	 * @param millis the time until a commit is executed, 0 to answer commits again
	 */
	void delayCommitsWithoutAnswer(long millis) {
		this.unansweredCommitDelayMillis = millis;
	}

	/**
	 * Slows down the answers.
	 * @param factor the factor by which answers take longer than usual
	 */
	void slowDown(int factor) {
		this.answerLatencyMillis = ANSWER_LATENCY_MILLIS * factor;
	}

	/**
	 * Slows down the answers and executes the transactions of a partition one at a time.
	 * @param factor the factor by which answers take longer than usual
	 */
	void slowDownAndSerialize(int factor) {
		slowDown(factor);
		this.transactionDurationMillis = (factor > 1) ? TRANSACTION_DURATION_MILLIS * factor : 0;
	}

	void setUnavailable(boolean newValue) {
		this.unavailable = newValue;
	}

	void put(String table, String key, String value) {
		this.version++;
		write(new RowStore.Write(new RowStore.Place(table, key), Optional.ofNullable(value)));
	}

	/**
	 * Returns the number of commits with a write to a table that were sent.
	 * @param table the table
	 * @return a count
	 */
	long commitCount(String table) {
		return this.commitCounts.getOrDefault(table, 0L);
	}

	long rowCount(String table) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.place().table().equals(table) && row.value().isPresent())
			.count();
	}

	Optional<String> value(RowStore.Place place) {
		return Optional.ofNullable(this.rows.get(key(place))).flatMap(RowStore.Row::value);
	}

	Client client() {
		return new Client();
	}

	private RowStore.Commit apply(List<RowStore.Condition> conditions, List<RowStore.Write> writes) {
		List<RowStore.Row> current = new ArrayList<>();
		boolean holds = true;
		for (RowStore.Condition condition : conditions) {
			RowStore.Row row = this.rows.get(key(condition.place()));
			boolean present = row != null && row.value().isPresent();
			holds &= (present ? row.version() : 0) == condition.version();
			if (present) {
				current.add(row);
			}
		}
		if (!holds) {
			return new RowStore.Commit.Conflict(current);
		}
		this.version++;
		writes.forEach(this::write);
		return new RowStore.Commit.Committed(this.version);
	}

	private void write(RowStore.Write write) {
		this.rows.put(key(write.place()), new RowStore.Row(write.place(), this.version, write.value()));
	}

	private static String key(RowStore.Place place) {
		return place.table() + "\t" + place.key();
	}

	/**
	 * The store as seen by one process.
	 */
	final class Client implements RowStore {

		private boolean cutOff;

		private int feedGeneration;

		void setCutOff(boolean newValue) {
			this.cutOff = newValue;
		}

		/**
		 * Silences the open connections that wait for changes; new connections work.
		 */
		void silenceFeeds() {
			this.feedGeneration++;
		}

		@Override
		public CompletableFuture<Commit> commit(List<Condition> conditions, List<Write> writes, Duration timeout) {
			CompletableFuture<Commit> answer = new CompletableFuture<>();
			writes.forEach((write) -> SimStore.this.commitCounts.merge(write.place().table(), 1L, Long::sum));
			if (this.cutOff) {
				SimStore.this.clock.scheduleAfter(timeout.toMillis(),
						() -> answer.complete(new Commit.Unanswered("disconnected from the store")));
				return answer;
			}
			if (SimStore.this.unavailable) {
				SimStore.this.clock.scheduleAfter(ANSWER_LATENCY_MILLIS,
						() -> answer.complete(new Commit.Refused("store is unavailable")));
				return answer;
			}
			if (SimStore.this.unansweredCommitDelayMillis > 0) {
				SimStore.this.clock.scheduleAfter(SimStore.this.unansweredCommitDelayMillis,
						() -> apply(conditions, writes));
				SimStore.this.clock.scheduleAfter(timeout.toMillis(),
						() -> answer.complete(new Commit.Unanswered("answer is lost")));
				return answer;
			}
			boolean answerLost = SimStore.this.random.nextDouble() < SimStore.this.lostShare;
			if (answerLost) {
				long delayMillis = SimStore.this.random.nextBoolean() ? ANSWER_LATENCY_MILLIS
						: SimStore.this.random.nextLong(MAX_COMMIT_DELAY_MILLIS);
				SimStore.this.clock.scheduleAfter(delayMillis, () -> apply(conditions, writes));
				SimStore.this.clock.scheduleAfter(timeout.toMillis(),
						() -> answer.complete(new Commit.Unanswered("answer is lost")));
				return answer;
			}
			long oneWayMillis = SimStore.this.answerLatencyMillis / 2;
			OptionalLong completion = completionTime(SimStore.this.clock.now() + oneWayMillis, writes);
			if (completion.isEmpty()) {
				SimStore.this.clock.scheduleAfter(oneWayMillis * 2,
						() -> answer.complete(new Commit.Refused("transaction queue is full")));
				return answer;
			}
			SimStore.this.clock.scheduleAfter(timeout.toMillis(),
					() -> answer.complete(new Commit.Unanswered("timed out")));
			SimStore.this.clock.scheduleAfter(completion.getAsLong() - SimStore.this.clock.now(), () -> {
				Commit outcome = apply(conditions, writes);
				SimStore.this.clock.scheduleAfter(oneWayMillis, () -> answer.complete(outcome));
			});
			return answer;
		}

		// Returns when a transaction is completed, or empty if the queue of its partition
		// is full.
		private OptionalLong completionTime(long arrival, List<Write> writes) {
			String table = writes.get(0).place().table();
			String partition = (table.equals(Tables.INTAKE) || table.equals(Tables.ENTRIES)) ? table : "";
			long start = Math.max(arrival, SimStore.this.busyUntil.getOrDefault(partition, 0L));
			if (SimStore.this.transactionDurationMillis == 0) {
				return OptionalLong.of(arrival);
			}
			if (start - arrival > MAX_QUEUE_MILLIS) {
				return OptionalLong.empty();
			}
			long end = start + SimStore.this.transactionDurationMillis;
			SimStore.this.busyUntil.put(partition, end);
			return OptionalLong.of(end);
		}

		@Override
		public CompletableFuture<Read> read(String table, String from, int limit, Duration timeout) {
			CompletableFuture<Read> answer = new CompletableFuture<>();
			if (this.cutOff || SimStore.this.unavailable) {
				SimStore.this.clock.scheduleAfter(timeout.toMillis(),
						() -> answer.complete(new Read.Unavailable("disconnected from the store")));
				return answer;
			}
			SimStore.this.clock.scheduleAfter(timeout.toMillis(),
					() -> answer.complete(new Read.Unavailable("timed out")));
			SimStore.this.clock.scheduleAfter(SimStore.this.answerLatencyMillis, () -> {
				List<Row> found = new ArrayList<>();
				for (Row row : SimStore.this.rows.tailMap(table + "\t" + from).values()) {
					if (row.place().table().equals(table) && row.value().isPresent() && found.size() < limit) {
						found.add(row);
					}
				}
				answer.complete(new Read.Found(found, false, SimStore.this.version));
			});
			return answer;
		}

		@Override
		public CompletableFuture<Changes> changes(String table, long after, Duration wait) {
			CompletableFuture<Changes> answer = new CompletableFuture<>();
			pollChanges(table, after, SimStore.this.clock.now() + wait.toMillis(), this.feedGeneration, answer);
			return answer;
		}

		private void pollChanges(String table, long after, long deadline, int generation,
				CompletableFuture<Changes> answer) {
			if (generation != this.feedGeneration) {
				long timeout = deadline + FEED_TIMEOUT_MILLIS - SimStore.this.clock.now();
				SimStore.this.clock.scheduleAfter(timeout,
						() -> answer.complete(new Changes.Unavailable("feed is silent")));
				return;
			}
			if (this.cutOff || SimStore.this.unavailable) {
				SimStore.this.clock.scheduleAfter(FEED_TIMEOUT_MILLIS,
						() -> answer.complete(new Changes.Unavailable("disconnected from the store")));
				return;
			}
			List<Row> changed = new ArrayList<>();
			for (Row row : SimStore.this.rows.values()) {
				if (row.place().table().equals(table) && row.version() > after) {
					changed.add(row);
				}
			}
			if (!changed.isEmpty() || SimStore.this.clock.now() >= deadline) {
				long newest = SimStore.this.version;
				SimStore.this.clock.scheduleAfter(ANSWER_LATENCY_MILLIS,
						() -> answer.complete(new Changes.Found(changed, newest)));
				return;
			}
			SimStore.this.clock.scheduleAfter(ANSWER_LATENCY_MILLIS * 5,
					() -> pollChanges(table, after, deadline, generation, answer));
		}

	}

}
