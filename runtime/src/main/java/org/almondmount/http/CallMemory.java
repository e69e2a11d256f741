package org.almondmount.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import org.almondmount.intake.ConnectionLoad;
import org.almondmount.intake.EvictionPolicy;
import org.almondmount.intake.EvictionPolicy.Candidate;

/**
 * The memory that the HTTP servers of a process may use for calls and answers, in bytes.
 * Thread-safe.
 * <p>
 * Memory is reserved before bytes are kept. If it is used up, connections are closed in
 * the order of {@link EvictionPolicy} until the reservation fits; if that does not
 * suffice, the reservation fails and its call is refused.
 */
public final class CallMemory {

	/**
	 * Parts of the heap, of which calls may use one: they are held a second time while
	 * they are parsed, and most of the heap belongs to the state of the process.
	 */
	private static final int HEAP_DIVISOR = 8;

	/** Part of the capacity that is freed in advance, so that not every call evicts. */
	private static final int ADVANCE_DIVISOR = 8;

	private final long capacityBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	private final Set<Account> accounts = ConcurrentHashMap.newKeySet();

	/**
	 * Creates memory of the given size.
	 * @param capacityBytes the maximum sum of all reservations
	 */
	public CallMemory(long capacityBytes) {
		this.capacityBytes = capacityBytes;
	}

	/**
	 * Creates memory in proportion to the heap of this process.
	 * @return the memory
	 */
	public static CallMemory ofHeap() {
		return new CallMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	public long capacityBytes() {
		return this.capacityBytes;
	}

	public long usedBytes() {
		return this.usedBytes.get();
	}

	/**
	 * Opens the account of a connection.
	 * @param load returns what the connection occupies, given the memory that it holds;
	 * called on any thread
	 * @param evict closes the connection; called on any thread
	 * @return the account, to be closed with the connection
	 */
	public Account open(LongFunction<ConnectionLoad> load, Runnable evict) {
		Account account = new Account(load, evict);
		this.accounts.add(account);
		return account;
	}

	// One eviction at a time, so that two reservations do not evict for the same excess.
	private synchronized boolean makeRoom(Account requester) {
		long excess = this.usedBytes.get() - this.capacityBytes;
		if (excess <= 0) {
			return true;
		}
		List<Candidate<Account>> candidates = new ArrayList<>();
		this.accounts.forEach((account) -> candidates.add(new Candidate<>(account, account.load())));
		for (Account victim : EvictionPolicy.selectToFree(candidates, excess + this.capacityBytes / ADVANCE_DIVISOR)) {
			if (victim != requester) {
				victim.close();
				victim.evict.run();
			}
		}
		return this.usedBytes.get() <= this.capacityBytes;
	}

	/**
	 * The reservations of one connection. Thread-safe.
	 */
	public final class Account implements AutoCloseable {

		private final LongFunction<ConnectionLoad> load;

		private final Runnable evict;

		private final AtomicLong heldBytes = new AtomicLong();

		private volatile boolean closed;

		private Account(LongFunction<ConnectionLoad> load, Runnable evict) {
			this.load = load;
			this.evict = evict;
		}

		/**
		 * Reserves memory, if necessary by closing other connections.
		 * @param bytes the number of bytes
		 * @return false if there is not enough memory; nothing is reserved then
		 */
		public boolean tryReserve(long bytes) {
			if (!add(bytes)) {
				return false;
			}
			if (CallMemory.this.usedBytes.get() <= CallMemory.this.capacityBytes || makeRoom(this)) {
				return !this.closed;
			}
			release(bytes);
			return false;
		}

		/**
		 * Reserves memory for an answer, which is delivered in any case. Other
		 * connections are closed if that exceeds the capacity.
		 * @param bytes the number of bytes
		 */
		public void reserve(long bytes) {
			if (add(bytes) && CallMemory.this.usedBytes.get() > CallMemory.this.capacityBytes) {
				makeRoom(this);
			}
		}

		/**
		 * Releases reserved memory.
		 * @param bytes the number of bytes
		 */
		public synchronized void release(long bytes) {
			if (!this.closed) {
				this.heldBytes.addAndGet(-bytes);
				CallMemory.this.usedBytes.addAndGet(-bytes);
			}
		}

		/**
		 * Releases everything. Later reservations fail.
		 */
		@Override
		public synchronized void close() {
			if (!this.closed) {
				this.closed = true;
				CallMemory.this.accounts.remove(this);
				CallMemory.this.usedBytes.addAndGet(-this.heldBytes.getAndSet(0));
			}
		}

		public long heldBytes() {
			return this.heldBytes.get();
		}

		private synchronized boolean add(long bytes) {
			if (this.closed) {
				return false;
			}
			this.heldBytes.addAndGet(bytes);
			CallMemory.this.usedBytes.addAndGet(bytes);
			return true;
		}

		private ConnectionLoad load() {
			return this.load.apply(this.heldBytes.get());
		}

	}

}
