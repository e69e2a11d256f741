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
 * The rows of a simulated store. Each process has a {@link Client} of its own, which can
 * be cut off.
 */
final class SimStore {

	private static final long ANSWER_MILLIS = 4;

	private static final long TRANSACTION_MILLIS = 5;

	/** A part in which transactions wait for longer takes no more. */
	private static final long LONGEST_QUEUE_MILLIS = 1_000;

	private static final long TIMEOUT_MILLIS = 1_000;

	private static final long LATEST_MILLIS = 6_000;

	private final VirtualTime time;

	private final Random random;

	private final TreeMap<String, RowStore.Row> rows = new TreeMap<>();

	private final Map<String, Long> commits = new HashMap<>();

	private long version;

	/** Share of commits whose answer is lost; half of those are carried out late. */
	private double lost;

	private boolean away;

	private long answerMillis = ANSWER_MILLIS;

	/**
	 * How long a transaction occupies its part; 0 for parts that take any number at once.
	 */
	private long transactionMillis;

	private final Map<String, Long> busyUntil = new HashMap<>();

	SimStore(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	void lose(double share) {
		this.lost = share;
	}

	/**
	 * Makes answers slow.
	 * @param times how many times as long as usual they take
	 */
	void slow(int times) {
		this.answerMillis = ANSWER_MILLIS * times;
	}

	/**
	 * Makes answers slow, and transactions of a part wait for each other.
	 * @param times how many times as long as usual they take
	 */
	void slowByPart(int times) {
		slow(times);
		this.transactionMillis = (times > 1) ? TRANSACTION_MILLIS * times : 0;
	}

	void away(boolean gone) {
		this.away = gone;
	}

	void put(String table, String key, String value) {
		this.version++;
		write(new RowStore.Write(new RowStore.Place(table, key), Optional.ofNullable(value)));
	}

	/**
	 * How many commits were sent with a write to a table.
	 * @param table the table
	 * @return a count
	 */
	long commitsTo(String table) {
		return this.commits.getOrDefault(table, 0L);
	}

	long rowsOf(String table) {
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
			boolean there = row != null && row.value().isPresent();
			holds &= (there ? row.version() : 0) == condition.version();
			if (there) {
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
	 * The store as one process sees it.
	 */
	final class Client implements RowStore {

		private boolean cut;

		private int feeds;

		void cut(boolean off) {
			this.cut = off;
		}

		/**
		 * Connections on which changes are waited for say nothing more; new ones work.
		 */
		void silenceFeeds() {
			this.feeds++;
		}

		@Override
		public CompletableFuture<Commit> commit(List<Condition> conditions, List<Write> writes, Duration timeout) {
			CompletableFuture<Commit> answer = new CompletableFuture<>();
			writes.forEach((write) -> SimStore.this.commits.merge(write.place().table(), 1L, Long::sum));
			if (this.cut) {
				SimStore.this.time.after(timeout.toMillis(), () -> answer.complete(new Commit.Unanswered("cut")));
				return answer;
			}
			if (SimStore.this.away) {
				SimStore.this.time.after(ANSWER_MILLIS, () -> answer.complete(new Commit.Refused("away")));
				return answer;
			}
			boolean silent = SimStore.this.random.nextDouble() < SimStore.this.lost;
			if (silent) {
				long late = SimStore.this.random.nextBoolean() ? ANSWER_MILLIS
						: SimStore.this.random.nextLong(LATEST_MILLIS);
				SimStore.this.time.after(late, () -> apply(conditions, writes));
				SimStore.this.time.after(timeout.toMillis(), () -> answer.complete(new Commit.Unanswered("lost")));
				return answer;
			}
			long half = SimStore.this.answerMillis / 2;
			OptionalLong turn = turn(SimStore.this.time.now() + half, writes);
			if (turn.isEmpty()) {
				SimStore.this.time.after(half * 2, () -> answer.complete(new Commit.Refused("queue full")));
				return answer;
			}
			SimStore.this.time.after(timeout.toMillis(), () -> answer.complete(new Commit.Unanswered("slow")));
			SimStore.this.time.after(turn.getAsLong() - SimStore.this.time.now(), () -> {
				Commit ending = apply(conditions, writes);
				SimStore.this.time.after(half, () -> answer.complete(ending));
			});
			return answer;
		}

		// When a transaction is carried out, or empty where its part has too many.
		private OptionalLong turn(long arrives, List<Write> writes) {
			String table = writes.get(0).place().table();
			String part = (table.equals(Tables.INTAKE) || table.equals(Tables.ENTRIES)) ? table : "";
			long begins = Math.max(arrives, SimStore.this.busyUntil.getOrDefault(part, 0L));
			if (SimStore.this.transactionMillis == 0) {
				return OptionalLong.of(arrives);
			}
			if (begins - arrives > LONGEST_QUEUE_MILLIS) {
				return OptionalLong.empty();
			}
			long ends = begins + SimStore.this.transactionMillis;
			SimStore.this.busyUntil.put(part, ends);
			return OptionalLong.of(ends);
		}

		@Override
		public CompletableFuture<Read> read(String table, String from, int limit, Duration timeout) {
			CompletableFuture<Read> answer = new CompletableFuture<>();
			if (this.cut || SimStore.this.away) {
				SimStore.this.time.after(timeout.toMillis(), () -> answer.complete(new Read.Unavailable("cut")));
				return answer;
			}
			SimStore.this.time.after(timeout.toMillis(), () -> answer.complete(new Read.Unavailable("slow")));
			SimStore.this.time.after(SimStore.this.answerMillis, () -> {
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
			look(table, after, SimStore.this.time.now() + wait.toMillis(), this.feeds, answer);
			return answer;
		}

		private void look(String table, long after, long until, int feed, CompletableFuture<Changes> answer) {
			if (feed != this.feeds) {
				long timeout = until + TIMEOUT_MILLIS - SimStore.this.time.now();
				SimStore.this.time.after(timeout, () -> answer.complete(new Changes.Unavailable("silent")));
				return;
			}
			if (this.cut || SimStore.this.away) {
				SimStore.this.time.after(TIMEOUT_MILLIS, () -> answer.complete(new Changes.Unavailable("cut")));
				return;
			}
			List<Row> changed = new ArrayList<>();
			for (Row row : SimStore.this.rows.values()) {
				if (row.place().table().equals(table) && row.version() > after) {
					changed.add(row);
				}
			}
			if (!changed.isEmpty() || SimStore.this.time.now() >= until) {
				long newest = SimStore.this.version;
				SimStore.this.time.after(ANSWER_MILLIS, () -> answer.complete(new Changes.Found(changed, newest)));
				return;
			}
			SimStore.this.time.after(ANSWER_MILLIS * 5, () -> look(table, after, until, feed, answer));
		}

	}

}
