package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A target restarts while an end of its worker is being kept.
 */
class LostAcknowledgementTests {

	private static final long RUN_MILLIS = 1_000;

	// Guards against ends that a worker lists for ever because the target that was told
	// that they are kept restarted before it told the worker.
	@ParameterizedTest
	@ValueSource(longs = { 1_014, 1_015, 1_016, 1_017, 1_018, 1_019, 1_020 })
	void anEndIsAcknowledgedThoughTheTargetRestarts(long killedAfter) {
		FleetWorld world = new FleetWorld(5, 3, 1);
		world.runFor(3_000);
		world.submit(world.smallJob("00000000000000aa"), RUN_MILLIS, false);
		while (world.checker().starts() == 0) {
			world.runFor(1);
		}
		world.runFor(killedAfter);
		world.targets().get(0).kill();
		world.runFor(10_000);
		SimWorker worker = world.targets().get(0).worker();
		CompletableFuture<WorkerEvent> look = worker.poll(new WorkerCommand.Poll(1, worker.life(), 0, 0, 0, 0));
		world.runFor(10);
		assertThat(((WorkerEvent.PollAnswered) look.join()).ended()).isEmpty();
	}

}
