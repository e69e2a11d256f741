package org.almondmount.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.almondmount.lease.impl.ObservedLeaseManager;
import org.almondmount.model.EntryId;

/**
 * Simulates several entries with lease managers and one table in virtual time. Each entry
 * has its own clock with a different origin and rate. Answers are late or lost, commits
 * take effect late, entries are paused and the table is unavailable at times.
 */
final class LeaseSimulation {

	static final long LENGTH_MILLIS = 4_000;

	private static final long STEP_MILLIS = 10;

	private final Random random;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>();

	private final List<Long> committedEpochs = new ArrayList<>();

	private Optional<LeaseRow> row = Optional.empty();

	private long version;

	private long now;

	private long nextSequence;

	private long tableUnavailableUntil;

	private boolean faultsEnabled = true;

	LeaseSimulation(Random random, int entryCount) {
		this.random = random;
		for (int i = 0; i < entryCount; i++) {
			this.entries.add(new SimulatedEntry(i, 0.99 + 0.02 * random.nextDouble(), random.nextInt(1_000_000)));
		}
	}

	void stopFaults() {
		this.faultsEnabled = false;
		this.tableUnavailableUntil = 0;
		this.entries.forEach((entry) -> entry.pausedUntil = 0);
	}

	void run(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += STEP_MILLIS) {
			injectFaults();
			while (!this.scheduledActions.isEmpty() && this.scheduledActions.peek().at <= this.now) {
				this.scheduledActions.poll().action.run();
			}
			for (SimulatedEntry entry : this.entries) {
				entry.step();
			}
		}
	}

	/**
	 * Returns the entries that may act as holder now, each by its own clock.
	 * @return the numbers of the entries
	 */
	List<Integer> holders() {
		List<Integer> holders = new ArrayList<>();
		for (SimulatedEntry entry : this.entries) {
			if (entry.clock() < entry.manager.validUntilMillis()) {
				holders.add(entry.number);
			}
		}
		return holders;
	}

	List<Long> committedEpochs() {
		return this.committedEpochs;
	}

	private void injectFaults() {
		if (!this.faultsEnabled) {
			return;
		}
		if (this.random.nextInt(2_000) == 0) {
			this.tableUnavailableUntil = this.now + this.random.nextInt(12_000);
		}
		for (SimulatedEntry entry : this.entries) {
			if (this.random.nextInt(1_500) == 0) {
				entry.pausedUntil = this.now + this.random.nextInt(10_000);
			}
		}
	}

	private boolean isMessageLost() {
		return this.faultsEnabled && this.random.nextInt(10) == 0;
	}

	private long nextDelay() {
		boolean slow = this.faultsEnabled && this.random.nextInt(20) == 0;
		return 1 + this.random.nextInt(slow ? 6_000 : 30);
	}

	private void schedule(long delay, Runnable action) {
		this.scheduledActions.add(new ScheduledAction(this.now + delay, this.nextSequence++, action));
	}

	private boolean isTableUnavailable() {
		return this.now < this.tableUnavailableUntil;
	}

	private final class SimulatedEntry {

		private final int number;

		private final double clockRate;

		private final long clockOrigin;

		private final LeaseManager manager;

		private final List<LeaseEvent> receivedEvents = new ArrayList<>();

		private long pausedUntil;

		SimulatedEntry(int number, double clockRate, long clockOrigin) {
			this.number = number;
			this.clockRate = clockRate;
			this.clockOrigin = clockOrigin;
			this.manager = new ObservedLeaseManager(
					new LeaseSettings(new EntryId("entry-" + number), "10.0.0." + number + ":1", LENGTH_MILLIS));
		}

		long clock() {
			return this.clockOrigin + (long) (LeaseSimulation.this.now * this.clockRate);
		}

		void step() {
			if (LeaseSimulation.this.now < this.pausedUntil) {
				return;
			}
			List<LeaseEvent> events = new ArrayList<>(this.receivedEvents);
			this.receivedEvents.clear();
			events.add(new LeaseEvent.Tick());
			events.forEach((event) -> this.manager.handle(clock(), event).forEach(this::execute));
			if (clock() < this.manager.validUntilMillis() && LeaseSimulation.this.random.nextInt(5) == 0) {
				commitUnderEpoch(this.manager.epoch());
			}
		}

		// Commits of a holder are conditional on its epoch still being current.
		private void commitUnderEpoch(long epoch) {
			schedule(nextDelay(), () -> {
				boolean epochUnchanged = LeaseSimulation.this.row.isPresent()
						&& LeaseSimulation.this.row.get().epoch() == epoch;
				if (epochUnchanged && !isTableUnavailable()) {
					LeaseSimulation.this.committedEpochs.add(epoch);
				}
			});
		}

		private void execute(LeaseCommand command) {
			if (command instanceof LeaseCommand.Read) {
				schedule(nextDelay(), this::read);
			}
			else if (command instanceof LeaseCommand.Commit commit) {
				commit(commit);
			}
		}

		private void read() {
			if (isTableUnavailable() || isMessageLost()) {
				answer(new LeaseEvent.ReadFailed());
				return;
			}
			answer(new LeaseEvent.RowRead(LeaseSimulation.this.row, LeaseSimulation.this.version));
		}

		// If the answer is lost, the outcome is reported as unknown at once, and the
		// commit may still take effect long after that.
		private void commit(LeaseCommand.Commit commit) {
			boolean lost = isMessageLost();
			schedule(nextDelay(), () -> {
				boolean takesEffect = !isTableUnavailable() && LeaseSimulation.this.version == commit.expectedVersion();
				if (takesEffect) {
					LeaseSimulation.this.row = Optional.of(commit.row());
					LeaseSimulation.this.version++;
				}
				if (!lost) {
					answer(new LeaseEvent.CommitEnded(commit.commitNumber(),
							takesEffect ? LeaseEvent.CommitOutcome.COMMITTED : LeaseEvent.CommitOutcome.NOT_COMMITTED));
				}
			});
			if (lost) {
				answer(new LeaseEvent.CommitEnded(commit.commitNumber(), LeaseEvent.CommitOutcome.UNKNOWN));
			}
		}

		private void answer(LeaseEvent event) {
			schedule(nextDelay(), () -> this.receivedEvents.add(event));
		}

	}

	private record ScheduledAction(long at, long sequence, Runnable action) implements Comparable<ScheduledAction> {

		@Override
		public int compareTo(ScheduledAction other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at)
					: Long.compare(this.sequence, other.sequence);
		}

	}

}
