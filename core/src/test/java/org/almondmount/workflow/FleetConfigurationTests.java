package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetConfigurationTests {

	private static final JobQueue URGENT = new JobQueue("q", "h", "/q/", "pool", 0, 2, 3, 1_000, false, false);

	// Guards against an urgent job that waits for the store behind all others because its
	// queue was renamed meanwhile.
	@Test
	void aJobKeepsThePriorityOfItsQueueAfterTheQueueWasRemoved() {
		Workflow job = job(Optional.of(new QueueDeclaration(1, URGENT)));
		assertThat(FleetConfiguration.NONE.priority(job)).isZero();
		assertThat(FleetConfiguration.NONE.priority(job(Optional.empty()))).isEqualTo(Integer.MAX_VALUE);
	}

	@Test
	void aDeclaredQueueDeterminesThePriorityOfItsJobs() {
		JobQueue lowered = new JobQueue("q", "h", "/q/", "pool", 2, 2, 3, 1_000, false, false);
		FleetConfiguration configuration = new FleetConfiguration(2, List.of(lowered), List.of(), List.of());
		assertThat(configuration.priority(job(Optional.of(new QueueDeclaration(1, URGENT))))).isEqualTo(2);
	}

	private static Workflow job(Optional<QueueDeclaration> declaration) {
		Step step = new Step(1, ResourceAmount.NONE, 0, List.of(), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
		return new Workflow("j", "q", "c", "p", List.of(step), Workflow.Schedule.ONCE, 0, declaration);
	}

}
