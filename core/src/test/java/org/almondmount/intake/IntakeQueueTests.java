package org.almondmount.intake;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IntakeQueueTests {

	private final IntakeQueue<String> queue = new IntakeQueue<>(3);

	@Test
	void ordersByPriorityThenByArrival() {
		this.queue.add(2, 100, "old");
		this.queue.add(0, 100, "urgent");
		this.queue.add(2, 50, "new");
		assertThat(this.queue.takeFirst((value) -> true)).contains("urgent");
		assertThat(this.queue.takeFirst((value) -> true)).contains("old");
		assertThat(this.queue.takeFirst((value) -> true)).contains("new");
		assertThat(this.queue.takeFirst((value) -> true)).isEmpty();
	}

	@Test
	void anItemThatIsNotReadyKeepsItsPosition() {
		this.queue.add(0, 100, "first");
		this.queue.add(1, 100, "second");
		assertThat(this.queue.takeFirst((value) -> value.equals("second"))).contains("second");
		assertThat(this.queue.takeFirst((value) -> true)).contains("first");
	}

	@Test
	void expiredItemsAreTakenOut() {
		this.queue.add(1, 100, "a");
		this.queue.add(1, 200, "b");
		assertThat(this.queue.takeExpired(99)).isEmpty();
		assertThat(this.queue.takeExpired(100)).containsExactly("a");
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void aFullQueueRejectsItems() {
		for (int i = 0; i < 3; i++) {
			assertThat(this.queue.add(1, 100, "x")).isTrue();
		}
		assertThat(this.queue.add(0, 100, "y")).isFalse();
	}

}
