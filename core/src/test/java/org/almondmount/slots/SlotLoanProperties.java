package org.almondmount.slots;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates entries that connect, disconnect and stop reading, and connections that
 * preserve the order of messages but delay them arbitrarily. Each entry assumes the last
 * loan that it has read.
 */
class SlotLoanProperties {

	private static final int SLOT_COUNT = 8;

	// Guards against lending the same slot to two entries, in which case both would send
	// and one of the two attempts would be refused. A loan is confirmed by the answer to
	// a heartbeat that was sent after it on the same connection.
	@Property(tries = 500, seed = "20261204")
	void slotsAssumedByEntriesNeverExceedTheTotal(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Simulation simulation = new Simulation(seed);
		for (int step = 0; step < 800; step++) {
			simulation.step();
			assertThat(simulation.assumedSlots()).isLessThanOrEqualTo(SLOT_COUNT);
		}
		simulation.finishCallsAndDeliverMessages();
		assertThat(simulation.assumedSlots()).isEqualTo(simulation.anyConnected() ? SLOT_COUNT : 0);
	}

	private static final class Simulation {

		private final SlotGate gate = SlotGateFactory.create(SlotPolicy.DEFAULT.withSlots(SLOT_COUNT));

		private final Random random;

		private final List<Entry> entries = new ArrayList<>();

		private final List<RequestId> running = new ArrayList<>();

		private long now;

		private int calls;

		Simulation(long seed) {
			this.random = new Random(seed);
			for (int i = 0; i < 4; i++) {
				this.entries.add(new Entry(new EntryId("e" + i)));
			}
		}

		void step() {
			this.now++;
			Entry entry = this.entries.get(this.random.nextInt(this.entries.size()));
			switch (this.random.nextInt(8)) {
				case 0 -> toggle(entry);
				case 1, 2, 3 -> entry.readNext();
				case 4 -> entry.sendHeartbeat();
				case 5, 6 -> call(entry);
				default -> endRandomCall();
			}
		}

		void finishCallsAndDeliverMessages() {
			while (!this.running.isEmpty()) {
				endRandomCall();
			}
			for (int i = 0; i < 40; i++) {
				this.entries.forEach(Entry::sendHeartbeat);
				this.entries.forEach((entry) -> {
					while (entry.readNext()) {
						continue;
					}
				});
			}
		}

		int assumedSlots() {
			return this.entries.stream().mapToInt((entry) -> entry.assumedSlots).sum();
		}

		boolean anyConnected() {
			return this.entries.stream().anyMatch((entry) -> entry.connected);
		}

		// The entry gives up its slots before the target notices the loss, because
		// messages sent on a closed connection are not delivered.
		private void toggle(Entry entry) {
			entry.connected = !entry.connected;
			entry.assumedSlots = 0;
			entry.unread.clear();
			entry.loanCount = 0;
			handle(entry.connected ? new SlotEvent.EntryJoined(entry.id) : new SlotEvent.EntryLost(entry.id));
		}

		private void call(Entry entry) {
			if (!entry.connected) {
				return;
			}
			RequestId request = new RequestId("r" + this.calls++);
			handle(new SlotEvent.CallReceived(entry.id, request, 1, this.now + 1_000_000));
		}

		private void endRandomCall() {
			if (!this.running.isEmpty()) {
				RequestId request = this.running.remove(this.random.nextInt(this.running.size()));
				handle(new SlotEvent.CallEnded(request, 1));
			}
		}

		private void handle(SlotEvent event) {
			for (SlotCommand command : this.gate.handle(this.now, event)) {
				if (command instanceof SlotCommand.LendSlots lend) {
					entry(lend.entry()).onSlotsLent(lend.slots());
				}
				else if (command instanceof SlotCommand.Run run) {
					this.running.add(run.request());
				}
			}
		}

		private Entry entry(EntryId id) {
			return this.entries.stream().filter((entry) -> entry.id.equals(id)).findFirst().orElseThrow();
		}

		private final class Entry {

			private final EntryId id;

			private final Deque<Runnable> unread = new ArrayDeque<>();

			private boolean connected;

			private int loanCount;

			private int assumedSlots;

			Entry(EntryId id) {
				this.id = id;
			}

			void onSlotsLent(int slots) {
				this.loanCount++;
				this.unread.addLast(() -> this.assumedSlots = slots);
			}

			void sendHeartbeat() {
				int loanCountBefore = this.loanCount;
				if (this.connected) {
					this.unread.addLast(() -> handle(new SlotEvent.LoanConfirmed(this.id, loanCountBefore)));
				}
			}

			boolean readNext() {
				Runnable next = this.unread.pollFirst();
				if (next != null) {
					next.run();
				}
				return next != null;
			}

		}

	}

}
