package org.almondmount.fleet.rehearsal;

import java.time.Duration;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.workflow.JobPhase;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRehearsalTests {

	// Guards against a rehearsal that stops halfway: the classes that it does not reach
	// are missing from the class data archive, and only a slower start shows it.
	@Test
	void aGangRunsToCompletion() throws Exception {
		try (FleetRehearsal rehearsal = new FleetRehearsal()) {
			assertThat(rehearsal.start().get()).isEqualTo(new Submission.Accepted());
			Awaitility.await()
				.atMost(Duration.ofSeconds(20))
				.until(() -> rehearsal.gangJobPhase().get().equals(new JobAnswer.Known(JobPhase.COMPLETED)));
		}
	}

}
