package org.almondmount.services;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table. Thread-safe. Futures complete on an I/O thread and
 * never exceptionally: every ending is a value.
 */
public interface TableService {

	/**
	 * Reads one row.
	 * @param key its key
	 * @return the row if it is there, or an unavailable result
	 */
	CompletableFuture<ReadResult<Optional<Row>>> read(String key);

	/**
	 * Reads all rows whose keys start with a prefix, in the order of their keys.
	 * @param prefix the prefix
	 * @return the rows, or an unavailable result
	 */
	CompletableFuture<ReadResult<List<Row>>> scan(String prefix);

	/**
	 * Commits a transaction whole or not at all. An answer that is lost is settled by
	 * reading the transaction's token back before this gives up and says unknown.
	 * @param transaction conditions, writes and the token
	 * @return how it ended
	 */
	CompletableFuture<CommitResult> commit(Transaction transaction);

	/**
	 * Settles a transaction whose ending was unknown, later.
	 * @param token the transaction's token
	 * @return committed if the token is there; not-committed only if it can never be;
	 * else unknown
	 */
	CompletableFuture<CommitResult> resolve(String token);

	/**
	 * A row.
	 *
	 * @param key its key
	 * @param version grows with each write of the row, from 1
	 * @param value a JSON text
	 */
	record Row(String key, long version, String value) {
	}

	/**
	 * A condition: the row is at that version when the transaction commits.
	 *
	 * @param key the row's key
	 * @param version the version, or 0 for a row that is not there
	 */
	record Condition(String key, long version) {
	}

	/**
	 * A write.
	 *
	 * @param key the row's key
	 * @param value the new value; empty deletes the row
	 */
	record Write(String key, Optional<String> value) {
	}

	/**
	 * A transaction.
	 *
	 * @param token unique; it makes a repeat harmless
	 * @param conditions all have to hold
	 * @param writes all are made
	 */
	record Transaction(String token, List<Condition> conditions, List<Write> writes) {

		public Transaction {
			conditions = List.copyOf(conditions);
			writes = List.copyOf(writes);
		}

	}

	/**
	 * What a read gave.
	 *
	 * @param <T> the rows
	 */
	sealed interface ReadResult<T> {

		/** The rows as they were at some moment between call and answer. */
		record Found<T>(T rows) implements ReadResult<T> {
		}

		/** The table did not answer. */
		record Unavailable<T>(String reason) implements ReadResult<T> {
		}

	}

	/**
	 * How a commit ended.
	 */
	sealed interface CommitResult {

		/** All writes took effect. */
		record Committed() implements CommitResult {
		}

		/** A condition did not hold; nothing took effect. */
		record Conflict(String key, long actualVersion) implements CommitResult {
		}

		/**
		 * Nothing took effect and nothing will: it was refused before it was sent or by
		 * rate.
		 */
		record NotCommitted(String reason) implements CommitResult {
		}

		/** It may or may not have taken effect; settle it later. */
		record Unknown(String reason) implements CommitResult {
		}

	}

}
