package org.almondmount.rows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A transactional store of rows. Thread-safe. Futures complete on an I/O thread and never
 * exceptionally: every outcome, including a failure, is a value. The store never retries;
 * the caller decides whether to repeat an operation.
 */
public interface RowStore {

	/**
	 * Commits all writes atomically.
	 * @param conditions the conditions, all of which have to hold
	 * @param writes the writes
	 * @param timeout the time after which the operation counts as unanswered
	 * @return the outcome
	 */
	CompletableFuture<Commit> commit(List<Condition> conditions, List<Write> writes, Duration timeout);

	/**
	 * Reads rows in the order of their keys.
	 * @param table the table
	 * @param from the first key, or empty to start at the beginning
	 * @param limit the maximum number of rows
	 * @param timeout the time after which the operation counts as unanswered
	 * @return the rows, or the reason why the store is unavailable
	 */
	CompletableFuture<Read> read(String table, String from, int limit, Duration timeout);

	/**
	 * Waits for changes of a table.
	 * @param table the table
	 * @param after the version after which changes are returned
	 * @param timeout how long to wait for the first change
	 * @return the changes in order, empty if there were none in time
	 */
	CompletableFuture<Changes> changes(String table, long after, Duration timeout);

	/**
	 * The location of a row.
	 *
	 * @param table the table
	 * @param key the row's key
	 */
	record Place(String table, String key) {
	}

	/**
	 * A row.
	 *
	 * @param place the location of the row
	 * @param version the version of the commit that wrote the row; versions are
	 * comparable across all rows
	 * @param value the text of the row, empty if the row was deleted
	 */
	record Row(Place place, long version, Optional<String> value) {

		/** Not a valid value of any row. */
		private static final String UNREADABLE = "\uFFFD";

		/**
		 * Returns a row that exists but whose value can't be decoded. It is not absent:
		 * it has a value, which no reader accepts.
		 * @param place the location of the row
		 * @param version the version of the row
		 * @return the row
		 */
		public static Row unreadable(Place place, long version) {
			return new Row(place, version, Optional.of(UNREADABLE));
		}

	}

	/**
	 * A condition that a row has the given version.
	 *
	 * @param place the row
	 * @param version the expected version, or 0 if the row must not exist
	 */
	record Condition(Place place, long version) {
	}

	/**
	 * A write.
	 *
	 * @param place the row
	 * @param value the new value; an empty one deletes the row
	 */
	record Write(Place place, Optional<String> value) {
	}

	/**
	 * The outcome of a commit.
	 */
	sealed interface Commit {

		/** All writes took effect; the written rows have this version. */
		record Committed(long version) implements Commit {
		}

		/** A condition did not hold; contains the current rows of the conditions. */
		record Conflict(List<Row> current) implements Commit {
		}

		/** No write took effect or will take effect. */
		record Refused(String why) implements Commit {
		}

		/** The commit may have taken effect, or may still take effect. */
		record Unanswered(String why) implements Commit {
		}

	}

	/**
	 * The outcome of a read.
	 */
	sealed interface Read {

		/**
		 * A consistent snapshot of the rows; the version is that of the newest change.
		 */
		record Found(List<Row> rows, boolean more, long version) implements Read {
		}

		/** The store did not answer. */
		record Unavailable(String why) implements Read {
		}

	}

	/**
	 * The outcome of a wait for changes.
	 */
	sealed interface Changes {

		/** The changes; the next call continues after this version. */
		record Found(List<Row> rows, long version) implements Changes {
		}

		/**
		 * The store no longer has the history after the given version; all rows have to
		 * be read again.
		 */
		record Forgotten() implements Changes {
		}

		/** The store did not answer. */
		record Unavailable(String why) implements Changes {
		}

	}

}
