package org.almondmount.daemon.entry.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.Transaction;
import org.almondmount.services.TableService.Write;

/**
 * Operations that go in one transaction. Owned by the store's thread.
 * <p>
 * Two operations that write the same row never share a batch: both would be told that
 * they took effect, though the second overwrote the first.
 */
final class StoreBatch {

	private final List<StoreOperation> operations = new ArrayList<>();

	private final Map<String, Condition> conditions = new LinkedHashMap<>();

	private final Set<String> written = new HashSet<>();

	private final List<Write> writes = new ArrayList<>();

	private final Set<StoreOperation> givenUp = new HashSet<>();

	boolean add(StoreOperation operation) {
		for (Write write : operation.writes()) {
			if (this.written.contains(write.key())) {
				return false;
			}
		}
		for (Condition condition : operation.conditions()) {
			Condition other = this.conditions.get(condition.key());
			if (this.written.contains(condition.key()) || (other != null && !other.equals(condition))) {
				return false;
			}
		}
		for (Write write : operation.writes()) {
			Condition other = this.conditions.get(write.key());
			if (other != null) {
				return false;
			}
		}
		operation.conditions().forEach((condition) -> this.conditions.put(condition.key(), condition));
		operation.writes().forEach((write) -> this.written.add(write.key()));
		this.writes.addAll(operation.writes());
		this.operations.add(operation);
		return true;
	}

	int writeCount() {
		return this.writes.size();
	}

	boolean isEmpty() {
		return this.operations.isEmpty();
	}

	Transaction transaction(String token) {
		return new Transaction(token, List.copyOf(this.conditions.values()), this.writes);
	}

	/**
	 * Tells the operations that wait no longer that their ending is unknown.
	 * @param nowMillis the time
	 * @param why what the table said
	 */
	void giveUp(long nowMillis, String why) {
		for (StoreOperation operation : this.operations) {
			if (nowMillis >= operation.giveUpAtMillis() && this.givenUp.add(operation)) {
				operation.ended().accept(new CommitResult.Unknown(why));
			}
		}
	}

	/**
	 * Tells the ending to those whom it concerns.
	 * @param result the ending, not unknown
	 * @return operations to send again, in their order: those that were only in the
	 * company of one whose condition failed, and those that never give up
	 */
	List<StoreOperation> end(CommitResult result) {
		List<StoreOperation> again = new ArrayList<>();
		for (StoreOperation operation : this.operations) {
			if (isSentAgain(operation, result)) {
				again.add(operation);
				continue;
			}
			operation.ended().accept(result);
		}
		return again;
	}

	private boolean isSentAgain(StoreOperation operation, CommitResult result) {
		if (result instanceof CommitResult.Conflict conflict) {
			return !operation.needs(conflict.key()) && this.operations.size() > 1;
		}
		return result instanceof CommitResult.NotCommitted && operation.neverGivesUp();
	}

}
