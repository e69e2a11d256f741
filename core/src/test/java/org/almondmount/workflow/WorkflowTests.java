package org.almondmount.workflow;

import java.util.List;

import org.almondmount.model.InvalidValueException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class WorkflowTests {

	// Two steps that depend on each other never run, and code that follows the chain of
	// dependencies never terminates.
	@Test
	void stepDependingOnALaterStepIsRejected() {
		assertThatThrownBy(
				() -> new Workflow("a", "q", "c", "p", List.of(stepAfter(1), stepAfter(0)), Workflow.Schedule.ONCE, 0))
			.isInstanceOf(InvalidValueException.class)
			.hasMessageContaining("steps.0.after");
	}

	// A job with a million tasks would fill the memory of every entry that reads it.
	@Test
	void jobWithMoreTasksThanCanBeStoredIsRejected() {
		Step step = new Step(1_000, ResourceAmount.NONE, 1_000, List.of(), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
		assertThatThrownBy(() -> new Workflow("a", "q", "c", "p", List.of(step), new Workflow.Schedule(0, 1, 4), 0))
			.isInstanceOf(InvalidValueException.class)
			.hasMessageContaining("at most 2500");
	}

	private static Step stepAfter(int step) {
		return new Step(1, ResourceAmount.NONE, 1_000, List.of(step), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
	}

}
