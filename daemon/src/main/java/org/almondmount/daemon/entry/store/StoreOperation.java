package org.almondmount.daemon.entry.store;

import java.util.List;
import java.util.function.Consumer;

import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.Write;

/**
 * Writes that belong together, on conditions. Immutable.
 *
 * @param conditions all have to hold
 * @param writes all are made, or none
 * @param giveUpAtMillis when an ending that is still unknown is told as such; it is told
 * once more when it is settled
 * @param ended told on the store's thread
 */
public record StoreOperation(List<Condition> conditions, List<Write> writes, long giveUpAtMillis,
		Consumer<CommitResult> ended) {

	/** The time to give up of an operation that is sent until it has an ending. */
	public static final long NEVER = Long.MAX_VALUE;

	public StoreOperation {
		conditions = List.copyOf(conditions);
		writes = List.copyOf(writes);
	}

	boolean neverGivesUp() {
		return this.giveUpAtMillis == NEVER;
	}

	boolean needs(String key) {
		for (Condition condition : this.conditions) {
			if (condition.key().equals(key)) {
				return true;
			}
		}
		return false;
	}

}
