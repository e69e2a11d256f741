package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A target restarts while the end of a run on its worker is being stored.
 */
class LostAcknowledgementTests {

	private static final long RUN_MILLIS = 1_000;

	// Guards against ends that a worker reports forever: its target learns that they are
	// stored, and restarts before it acknowledges them to the worker.
	@ParameterizedTest
	@ValueSource(longs = { 1_014, 1_015, 1_016, 1_017, 1_018, 1_019, 1_020 })
	void anEndIsAcknowledgedThoughTheTargetRestarts(long killDelayMillis) {
		FleetSimulation simulation = new FleetSimulation(5, 3, 1);
		simulation.runFor(3_000);
		simulation.submit(simulation.smallJob("00000000000000aa"), RUN_MILLIS, false);
		while (simulation.checker().startCount() == 0) {
			simulation.runFor(1);
		}
		simulation.runFor(killDelayMillis);
		simulation.targets().get(0).kill();
		simulation.runFor(10_000);
		SimWorker worker = simulation.targets().get(0).worker();
		CompletableFuture<WorkerEvent> poll = worker.poll(new WorkerCommand.Poll(1, worker.incarnation(), 0, 0, 0, 0));
		simulation.runFor(10);
		assertThat(((WorkerEvent.PollAnswered) poll.join()).ended()).isEmpty();
	}

}
