package org.almondmount.concurrent;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventProcessorTests {

	private static final long PARK_LONGER_THAN_TEST_NANOS = TimeUnit.MINUTES.toNanos(10);

	@Test
	void offerDuringParkWakesTheThread() {
		// An element is offered just as the thread is about to park. If the wake-up were
		// lost, the element would stay queued until the park timeout, here ten minutes.
		AtomicInteger done = new AtomicInteger();
		try (EventProcessor<Integer> processor = new EventProcessor<>("test-duty", 16,
				(element) -> done.incrementAndGet(), (fault) -> {
				}, PARK_LONGER_THAN_TEST_NANOS)) {
			processor.start();
			for (int i = 1; i <= 20_000; i++) {
				int expected = i;
				assertThat(processor.offer(i)).isTrue();
				if (!spinUntil(() -> done.get() == expected)) {
					Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> done.get() == expected);
				}
			}
		}
	}

	// Guards against a process that looks alive while its thread for decisions is gone.
	@Test
	void theThreadGoesOnWhenEvenTheReportOfAFaultFails() {
		List<Integer> done = new CopyOnWriteArrayList<>();
		try (EventProcessor<Integer> processor = new EventProcessor<>("test-duty", 4, (element) -> {
			if (element == 0) {
				throw new OutOfMemoryError("simulated");
			}
			done.add(element);
		}, (fault) -> {
			throw new OutOfMemoryError("simulated");
		})) {
			processor.start();
			processor.offer(0);
			processor.offer(1);
			Awaitility.await().until(() -> done.equals(List.of(1)));
			assertThat(processor.unreportedCount()).isEqualTo(1);
		}
	}

	@Test
	void offerReturnsFalseWhenQueueIsFull() throws InterruptedException {
		CountDownLatch release = new CountDownLatch(1);
		CountDownLatch handling = new CountDownLatch(1);
		List<Integer> done = new CopyOnWriteArrayList<>();
		try (EventProcessor<Integer> processor = new EventProcessor<>("test-duty", 4, (element) -> {
			handling.countDown();
			await(release);
			done.add(element);
		}, (fault) -> {
		})) {
			processor.start();
			processor.offer(0);
			handling.await();
			for (int i = 1; i <= 4; i++) {
				assertThat(processor.offer(i)).isTrue();
			}
			assertThat(processor.offer(5)).isFalse();
			release.countDown();
			Awaitility.await().until(() -> done.equals(List.of(0, 1, 2, 3, 4)));
		}
	}

	@Test
	void handlerExceptionIsReportedAndProcessingContinues() {
		List<Throwable> faults = new CopyOnWriteArrayList<>();
		List<String> done = new CopyOnWriteArrayList<>();
		try (EventProcessor<String> processor = new EventProcessor<>("test-duty", 16, (element) -> {
			if (element.equals("bad")) {
				throw new IllegalStateException(element);
			}
			done.add(element);
		}, faults::add)) {
			processor.start();
			processor.offer("bad");
			processor.offer("good");
			Awaitility.await().until(() -> done.equals(List.of("good")));
			assertThat(faults).singleElement().isInstanceOf(IllegalStateException.class);
		}
	}

	@Test
	void closeDrainsTheQueueAndRejectsNewElements() {
		List<Integer> done = new CopyOnWriteArrayList<>();
		EventProcessor<Integer> processor = new EventProcessor<>("test-duty", 16, done::add, (fault) -> {
		});
		processor.offer(1);
		processor.offer(2);
		processor.close();
		assertThat(processor.offer(3)).isFalse();
		processor.start();
		Awaitility.await().until(() -> done.equals(List.of(1, 2)));
	}

	private static boolean spinUntil(BooleanSupplier condition) {
		for (int i = 0; i < 100_000; i++) {
			if (condition.getAsBoolean()) {
				return true;
			}
			Thread.onSpinWait();
		}
		return false;
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
