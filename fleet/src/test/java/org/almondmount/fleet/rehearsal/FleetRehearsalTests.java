package org.almondmount.fleet.rehearsal;

import java.time.Duration;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.workflow.JobPhase;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRehearsalTests {

	// A rehearsal that stops half way leaves the classes of the other half out of the
	// archive, and nothing but a slower start tells of it.
	@Test
	void aGangRunsToCompletion() throws Exception {
		try (FleetRehearsal rehearsal = new FleetRehearsal()) {
			assertThat(rehearsal.start().get()).isEqualTo(new Submission.Accepted());
			Awaitility.await()
				.atMost(Duration.ofSeconds(20))
				.until(() -> rehearsal.phase().get().equals(new JobAnswer.Known(JobPhase.COMPLETED)));
		}
	}

}
