package org.almondmount.workflow;

import java.util.List;

import org.almondmount.model.InvalidValueException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class WorkflowTests {

	// Two steps that wait for each other never run, and whoever follows the chain of them
	// never comes to its end.
	@Test
	void aStepThatWaitsForALaterOneIsRefused() {
		assertThatThrownBy(
				() -> new Workflow("a", "q", "c", "p", List.of(after(1), after(0)), Workflow.Schedule.ONCE, 0))
			.isInstanceOf(InvalidValueException.class)
			.hasMessageContaining("steps.0.after");
	}

	// One job with a million tasks would fill the memory of every entry that reads it.
	@Test
	void aJobWithMoreTasksThanCanBeKeptIsRefused() {
		Step step = new Step(1_000, ResourceAmount.NONE, 1_000, List.of(), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
		assertThatThrownBy(() -> new Workflow("a", "q", "c", "p", List.of(step), new Workflow.Schedule(0, 1, 4), 0))
			.isInstanceOf(InvalidValueException.class)
			.hasMessageContaining("at most 2500");
	}

	private static Step after(int step) {
		return new Step(1, ResourceAmount.NONE, 1_000, List.of(step), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
	}

}
