package org.almondmount.slots.impl;

import java.util.Map;
import java.util.TreeMap;

import org.almondmount.model.EntryId;

/**
 * Divides the slots among the connected entries. Not thread-safe.
 * <p>
 * Entries do not coordinate their use of slots. If a slot were lent to a second entry
 * while the first still assumes that it may use it, both would send and one of the two
 * attempts would be refused. A slot is therefore lent again only after its last borrower
 * has confirmed the smaller loan and no longer uses the slot. The slots that entries
 * assume to be lent to them therefore never exceed the total.
 */
final class SlotAllocator {

	private final int slots;

	private final int rotation;

	private final Map<EntryId, Loan> loans = new TreeMap<>();

	/**
	 * Creates an allocator without entries.
	 * @param slots the total number of slots
	 * @param rotation offset of the first entry that gets one of the remaining slots
	 */
	SlotAllocator(int slots, int rotation) {
		this.slots = slots;
		this.rotation = rotation;
	}

	void addEntry(EntryId entry) {
		this.loans.put(entry, new Loan());
	}

	void removeEntry(EntryId entry) {
		this.loans.remove(entry);
	}

	// A confirmation of an earlier loan is ignored, even if it was for the same number of
	// slots, because a larger loan may still be in transit.
	void confirm(EntryId entry, int confirmedCount) {
		Loan loan = this.loans.get(entry);
		if (loan != null && loan.announcedCount == confirmedCount) {
			loan.assumed = loan.lent;
		}
	}

	/**
	 * Recomputes the loans and returns those that change.
	 * @param inUse number of running attempts by the entry that sent them
	 * @return the changed number of lent slots by entry
	 */
	Map<EntryId, Integer> rebalance(Map<EntryId, Integer> inUse) {
		Map<EntryId, Integer> changed = new TreeMap<>();
		shrink(changed);
		grow(changed, inUse);
		return changed;
	}

	private void shrink(Map<EntryId, Integer> changed) {
		int index = 0;
		for (Map.Entry<EntryId, Loan> entry : this.loans.entrySet()) {
			Loan loan = entry.getValue();
			loan.fairShare = fairShare(index++);
			if (loan.lent > loan.fairShare) {
				loan.lent = loan.fairShare;
				loan.announcedCount++;
				changed.put(entry.getKey(), loan.lent);
			}
		}
	}

	private void grow(Map<EntryId, Integer> changed, Map<EntryId, Integer> inUse) {
		int free = this.slots - unavailable(inUse);
		for (Map.Entry<EntryId, Loan> entry : this.loans.entrySet()) {
			Loan loan = entry.getValue();
			int additional = Math.min(free, loan.fairShare - loan.lent);
			if (additional > 0) {
				loan.lent += additional;
				loan.assumed = Math.max(loan.assumed, loan.lent);
				free -= additional;
				loan.announcedCount++;
				changed.put(entry.getKey(), loan.lent);
			}
			else if (loan.announcedCount == 0) {
				loan.announcedCount++;
				changed.put(entry.getKey(), loan.lent);
			}
		}
	}

	private int unavailable(Map<EntryId, Integer> inUse) {
		int count = 0;
		for (Map.Entry<EntryId, Loan> entry : this.loans.entrySet()) {
			count += Math.max(entry.getValue().assumed, inUse.getOrDefault(entry.getKey(), 0));
		}
		for (Map.Entry<EntryId, Integer> entry : inUse.entrySet()) {
			if (!this.loans.containsKey(entry.getKey())) {
				count += entry.getValue();
			}
		}
		return count;
	}

	private int fairShare(int index) {
		int share = this.slots / this.loans.size();
		int position = Math.floorMod(index + this.rotation, this.loans.size());
		return (position < this.slots % this.loans.size()) ? share + 1 : share;
	}

	private static final class Loan {

		private int fairShare;

		private int lent;

		private int assumed;

		private int announcedCount;

	}

}
