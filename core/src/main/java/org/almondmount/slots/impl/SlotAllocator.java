package org.almondmount.slots.impl;

import java.util.Map;
import java.util.TreeMap;

import org.almondmount.model.EntryId;

/**
 * Divides the slots among the connected entries. Not thread-safe.
 * <p>
 * Entries do not talk to each other about slots. If a slot were lent to a second entry
 * while the first still believes in it, both would send and one of the two attempts would
 * be refused. So a slot is lent anew only when its last borrower has confirmed the
 * smaller loan and no longer uses it: what entries believe never adds up to more than
 * there is.
 */
final class SlotAllocator {

	private final int slots;

	private final int rotation;

	private final Map<EntryId, Loan> loans = new TreeMap<>();

	/**
	 * Makes a book without entries.
	 * @param slots all slots
	 * @param rotation where the entries that get one slot more begin
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

	// A confirmation of an earlier loan says nothing, even if that was of as many slots:
	// a larger one may still be on the way.
	void confirm(EntryId entry, int confirmedCount) {
		Loan loan = this.loans.get(entry);
		if (loan != null && loan.announcedCount == confirmedCount) {
			loan.assumed = loan.lent;
		}
	}

	/**
	 * Works out the loans that change.
	 * @param inUse attempts that run, by the entry that sent them
	 * @return new loans by entry
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
