package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnreadConfigurationTests extends SchedulerFixture {

	@Override
	void configure() {
		// The holder has not read the configuration yet.
	}

	// Guards against starts in zones that are out of service: a new holder reads them
	// together with the configuration, and a job alone tells its queue only.
	@Test
	void noJobIsPlacedBeforeTheConfigurationIsRead() {
		JobQueue queue = new JobQueue("q", "h", "/", "pool", 2, 2, 3, 1_000, false, false);
		Workflow job = new Workflow("a", "q", "c", "p", List.of(step(1, 1)), Workflow.Schedule.ONCE, this.now,
				Optional.of(new QueueDeclaration(1, queue)));
		beginTerm(1);
		assertThat(startsAfterAccepting(job)).isEmpty();
		FleetConfiguration withoutQueue = new FleetConfiguration(2, List.of(), List.of(), List.of());
		assertThat(startsAfterPersisting(feed(new WorkflowEvent.ConfigurationChanged(withoutQueue)))).hasSize(1);
	}

}
