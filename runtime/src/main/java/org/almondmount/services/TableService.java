package org.almondmount.services;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's transactional table. Thread-safe. Futures complete on an I/O
 * thread and never exceptionally: every outcome is a value.
 */
public interface TableService {

	/**
	 * Reads one row.
	 * @param key its key
	 * @return the row if it exists, or an unavailable result
	 */
	CompletableFuture<ReadResult<Optional<Row>>> read(String key);

	/**
	 * Reads all rows whose keys start with a prefix, ordered by key.
	 * @param prefix the prefix
	 * @return the rows, or an unavailable result
	 */
	CompletableFuture<ReadResult<List<Row>>> scan(String prefix);

	/**
	 * Commits a transaction atomically. If an answer is lost, the outcome is resolved by
	 * reading the transaction's token; the result is unknown only if this fails too.
	 * @param transaction conditions, writes and the token
	 * @return the outcome
	 */
	CompletableFuture<CommitResult> commit(Transaction transaction);

	/**
	 * Resolves the outcome of an earlier transaction whose result was unknown.
	 * @param token the transaction's token
	 * @return committed if the token exists; not-committed only if the transaction can
	 * never take effect; unknown otherwise
	 */
	CompletableFuture<CommitResult> resolve(String token);

	/**
	 * A row.
	 *
	 * @param key its key
	 * @param version version that starts at 1 and increases with each write of the row
	 * @param value the value as JSON text
	 */
	record Row(String key, long version, String value) {
	}

	/**
	 * A condition that a row has a given version when the transaction commits.
	 *
	 * @param key the row's key
	 * @param version the version, or 0 if the row must not exist
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
	 * @param token unique token, which makes the transaction idempotent
	 * @param conditions conditions that must all hold
	 * @param writes writes, all of which are applied
	 */
	record Transaction(String token, List<Condition> conditions, List<Write> writes) {

		public Transaction {
			conditions = List.copyOf(conditions);
			writes = List.copyOf(writes);
		}

	}

	/**
	 * The result of a read.
	 *
	 * @param <T> the type of the rows
	 */
	sealed interface ReadResult<T> {

		/** The rows as of some time between call and answer. */
		record Found<T>(T rows) implements ReadResult<T> {
		}

		/** The table did not answer. */
		record Unavailable<T>(String reason) implements ReadResult<T> {
		}

	}

	/**
	 * The outcome of a commit.
	 */
	sealed interface CommitResult {

		/** All writes took effect. */
		record Committed() implements CommitResult {
		}

		/** A condition did not hold; nothing took effect. */
		record Conflict(String key, long actualVersion) implements CommitResult {
		}

		/**
		 * The transaction did not take effect and never will: it was refused before it
		 * was sent or by a rate limit.
		 */
		record NotCommitted(String reason) implements CommitResult {
		}

		/** The transaction may or may not have taken effect; resolve it later. */
		record Unknown(String reason) implements CommitResult {
		}

	}

}
