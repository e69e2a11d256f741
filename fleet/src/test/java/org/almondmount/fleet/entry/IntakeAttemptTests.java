package org.almondmount.fleet.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IntakeAttemptTests {

	// Guards against forwarding each job to every entry during an outage.
	@Test
	void aJobIsForwardedToAFewEntriesOnceEach() {
		IntakeAttempt attempt = attempt(false);
		for (String address : List.of("a:1", "b:1", "c:1")) {
			assertThat(attempt.mayForwardTo(address)).isTrue();
			attempt.markForwardedTo(address);
			assertThat(attempt.mayForwardTo(address)).isFalse();
		}
		assertThat(attempt.mayForwardTo("d:1")).isFalse();
	}

	@Test
	void aForwardedJobIsNotForwardedAgain() {
		assertThat(attempt(true).mayForwardTo("a:1")).isFalse();
	}

	private static IntakeAttempt attempt(boolean forPeer) {
		Step step = new Step(1, new ResourceAmount(1_000, 1_000, 1), 1_000, List.of(), false, false,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		Workflow job = new Workflow("00000000000000aa", "q", "c", "p", List.of(step), Workflow.Schedule.ONCE, 0);
		return new IntakeAttempt(job, 0, 3_000, forPeer, new CompletableFuture<>());
	}

}
