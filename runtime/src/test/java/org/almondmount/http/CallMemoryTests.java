package org.almondmount.http;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.intake.ConnectionLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallMemoryTests {

	private final CallMemory memory = new CallMemory(1_000);

	private final List<String> evicted = new ArrayList<>();

	// Guards against a sum of legal calls that no process can hold.
	@Test
	void theSumOfAllReservationsStaysWithinTheCapacity() {
		CallMemory.Account large = open("large", false, 100);
		CallMemory.Account small = open("small", false, 0);
		assertThat(large.tryReserve(900)).isTrue();
		assertThat(small.tryReserve(200)).isTrue();
		assertThat(this.evicted).containsExactly("large");
		assertThat(large.tryReserve(1)).isFalse();
		assertThat(this.memory.usedBytes()).isEqualTo(200);
	}

	@Test
	void aReservationFailsWhereOnlyPendingCallsHoldMemory() {
		CallMemory.Account pending = open("pending", true, 0);
		CallMemory.Account next = open("next", false, 0);
		assertThat(pending.tryReserve(900)).isTrue();
		assertThat(next.tryReserve(200)).isFalse();
		assertThat(this.evicted).isEmpty();
		assertThat(this.memory.usedBytes()).isEqualTo(900);
	}

	@Test
	void anAnswerIsReservedEvenIfNothingIsLeft() {
		CallMemory.Account pending = open("pending", true, 0);
		pending.reserve(2_000);
		assertThat(this.memory.usedBytes()).isEqualTo(2_000);
	}

	// Guards against a leak on any of the ways in which a connection ends.
	@Test
	void aClosedAccountHoldsNothing() {
		CallMemory.Account account = open("closed", false, 0);
		account.tryReserve(500);
		account.close();
		account.release(500);
		account.reserve(100);
		account.close();
		assertThat(this.memory.usedBytes()).isZero();
	}

	private CallMemory.Account open(String name, boolean pending, long stalledMillis) {
		return this.memory.open((bytes) -> new ConnectionLoad(false, pending, bytes, stalledMillis),
				() -> this.evicted.add(name));
	}

}
