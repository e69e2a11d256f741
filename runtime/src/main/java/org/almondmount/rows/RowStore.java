package org.almondmount.rows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A transactional store of rows. Thread-safe. Futures complete on an I/O thread and never
 * exceptionally: every ending is a value. Nothing is sent twice; who asks decides whether
 * to ask again.
 */
public interface RowStore {

	/**
	 * Commits writes whole or not at all.
	 * @param conditions all have to hold
	 * @param writes all are made
	 * @param timeout after which it counts as unanswered
	 * @return how it ended
	 */
	CompletableFuture<Commit> commit(List<Condition> conditions, List<Write> writes, Duration timeout);

	/**
	 * Reads rows in the order of their keys.
	 * @param table the table
	 * @param from the first key, or empty for the beginning
	 * @param limit at most so many
	 * @param timeout after which it counts as unanswered
	 * @return the rows
	 */
	CompletableFuture<Read> read(String table, String from, int limit, Duration timeout);

	/**
	 * Waits for changes of a table.
	 * @param table the table
	 * @param after the version after which changes are wanted
	 * @param timeout how long to wait for the first one
	 * @return the changes in order, none where there were none in time
	 */
	CompletableFuture<Changes> changes(String table, long after, Duration timeout);

	/**
	 * Where a row lies.
	 *
	 * @param table the table
	 * @param key the row's key
	 */
	record Place(String table, String key) {
	}

	/**
	 * A row.
	 *
	 * @param place where it lies
	 * @param version the version that wrote it; versions of all rows are compared
	 * @param value its text; empty for a row that was deleted
	 */
	record Row(Place place, long version, Optional<String> value) {
	}

	/**
	 * A condition: the row is at that version.
	 *
	 * @param place the row
	 * @param version the version, or 0 for a row that is not there
	 */
	record Condition(Place place, long version) {
	}

	/**
	 * A write.
	 *
	 * @param place the row
	 * @param value its new value; empty deletes it
	 */
	record Write(Place place, Optional<String> value) {
	}

	/**
	 * How a commit ended.
	 */
	sealed interface Commit {

		/** All writes took effect; their rows are at that version. */
		record Committed(long version) implements Commit {
		}

		/** A condition did not hold; the rows of the conditions as they are. */
		record Conflict(List<Row> current) implements Commit {
		}

		/** Nothing took effect and nothing will. */
		record Refused(String why) implements Commit {
		}

		/** It may have taken effect, or may still do so. */
		record Unanswered(String why) implements Commit {
		}

	}

	/**
	 * How a read ended.
	 */
	sealed interface Read {

		/** The rows, as of one moment, whose newest change has that version. */
		record Found(List<Row> rows, boolean more, long version) implements Read {
		}

		/** The store did not answer. */
		record Unavailable(String why) implements Read {
		}

	}

	/**
	 * How waiting for changes ended.
	 */
	sealed interface Changes {

		/** The changes; go on after that version. */
		record Found(List<Row> rows, long version) implements Changes {
		}

		/** The store no longer knows what changed; everything has to be read again. */
		record Forgotten() implements Changes {
		}

		/** The store did not answer. */
		record Unavailable(String why) implements Changes {
		}

	}

}
