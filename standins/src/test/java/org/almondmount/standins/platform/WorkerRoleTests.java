package org.almondmount.standins.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import org.almondmount.http.HttpFailure;
import org.almondmount.http.HttpLimits;
import org.almondmount.jobs.Attempt;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.services.WorkerClient.TaskReport;
import org.almondmount.services.impl.HttpObjectStore;
import org.almondmount.services.impl.HttpWorkerClient;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * The worker's client against the worker's stand-in.
 */
class WorkerRoleTests {

	private static final Duration LEASE = Duration.ofSeconds(20);

	private static final Attempt ATTEMPT = new Attempt(new JobId("job-1"), 1);

	private static final Attempt SECOND = new Attempt(new JobId("job-1"), 2);

	private final StandInFixture fixture = new StandInFixture();

	private FaultyServer objects;

	private HttpObjectStore store;

	private HttpWorkerClient worker;

	@BeforeEach
	void start() {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		this.objects = FaultyServer.start(this.fixture.standInThread, any, HttpLimits.DEFAULT,
				new ObjectsRole(new EventRecord()), new Faults(), new EventRecord());
		this.store = new HttpObjectStore(this.fixture.client, this.objects.address());
		WorkerRole role = new WorkerRole("worker-1", new Resources(8, 32, 1_000), this.fixture.client,
				this.objects.address(), this.fixture.faults, this.fixture.events);
		role.start(this.fixture.standInThread.next());
		this.worker = new HttpWorkerClient(this.fixture.client, this.fixture.serve(role));
	}

	@AfterEach
	void stop() {
		this.objects.close();
		this.fixture.close();
	}

	@Test
	void aTaskRunsToItsEndAndStartingItTwiceStartsItOnce() {
		start(ATTEMPT, "sleep 50ms", LEASE);
		start(ATTEMPT, "sleep 50ms", LEASE);
		awaitState(ATTEMPT, "succeeded");
		assertThat(this.fixture.eventCount("start")).isEqualTo(1);
	}

	@Test
	void aTaskWhoseLeaseIsNotRenewedIsStopped() {
		start(ATTEMPT, "sleep 1h", Duration.ofMillis(100));
		awaitState(ATTEMPT, "stopped");
		assertThat(this.fixture.events.document(0).toString()).contains("\"cause\":\"lease\"");
	}

	@Test
	void renewingKeepsATaskRunning() {
		start(ATTEMPT, "sleep 1h", Duration.ofMillis(400));
		Awaitility.await().pollInterval(Duration.ofMillis(50)).during(Duration.ofMillis(800)).until(() -> {
			this.worker.renew(ATTEMPT, 0, Duration.ofMillis(400)).join();
			return state(ATTEMPT).equals("running");
		});
	}

	@Test
	void aSuspendedTaskGoesOnFromItsCheckpoint() {
		start(ATTEMPT, "sleep 900ms", LEASE);
		Awaitility.await().until(() -> this.fixture.get("/v1/tasks").at("/tasks/0/doneMillis").asLong() > 500);
		this.worker.suspend(ATTEMPT, 0).join();
		awaitState(ATTEMPT, "suspended");
		assertThat(this.store.exists("checkpoints/job-1/0").join()).isTrue();
		this.worker.start(SECOND, 0, spec("sleep 900ms"), true, LEASE).join();
		Awaitility.await().until(() -> this.fixture.get("/v1/tasks").at("/tasks/1/doneMillis").asLong() > 500);
		awaitState(SECOND, "succeeded");
		this.store.delete("checkpoints/job-1/0").join();
		assertThat(this.store.exists("checkpoints/job-1/0").join()).isFalse();
	}

	@Test
	void aProgramMayIgnoreItsCheckpoint() {
		start(ATTEMPT, "ignore-checkpoint sleep 1h", LEASE);
		this.worker.suspend(ATTEMPT, 0).join();
		this.worker.stop(ATTEMPT, 0).join();
		awaitState(ATTEMPT, "stopped");
	}

	@Test
	void programsAndWorkersFailApart() {
		start(ATTEMPT, "sleep 10ms fail", LEASE);
		awaitState(ATTEMPT, "failed");
		this.fixture.set(Fault.FAIL_TASKS, 1);
		start(SECOND, "sleep 10s", LEASE);
		awaitState(SECOND, "worker-failed");
	}

	@Test
	void whatDoesNotFitIsRefusedAndDidNotStart() {
		start(ATTEMPT, "sleep 1h", LEASE);
		assertThat(startFailure(SECOND).mayHaveArrived()).isFalse();
		assertThat(this.fixture.eventCount("start")).isEqualTo(1);
	}

	@Test
	void aStartThatItsStopHasOvertakenDoesNotRun() {
		this.worker.stop(ATTEMPT, 0).join();
		assertThat(startFailure(ATTEMPT)).hasMessageContaining("stopped");
		assertThat(this.fixture.eventCount("start")).isZero();
	}

	@Test
	void usageOverTheDeclaredSizeIsReportedLateAndEndsWithThrottling() {
		start(ATTEMPT, "sleep 1h use 2x", LEASE);
		assertThat(report(ATTEMPT).used().cores()).isZero();
		Awaitility.await().until(() -> report(ATTEMPT).used().cores() == 40);
		this.worker.throttle(ATTEMPT, 0).join();
		assertThat(report(ATTEMPT).used().cores()).isEqualTo(20);
	}

	private void start(Attempt attempt, String program, Duration lease) {
		this.worker.start(attempt, 0, spec(program), false, lease).join();
	}

	private HttpFailure startFailure(Attempt attempt) {
		CompletionException failed = catchThrowableOfType(CompletionException.class,
				() -> start(attempt, "sleep 1h", LEASE));
		return (HttpFailure) failed.getCause();
	}

	private static JobSpec spec(String program) {
		GangShape shape = new GangShape(1, new Resources(5, 20, 500), Adjacency.WORKER);
		return new JobSpec(new CustomerId("parish"), "panel", shape, Urgency.NORMAL, true, Duration.ofMinutes(1),
				Duration.ZERO, program);
	}

	private void awaitState(Attempt attempt, String state) {
		Awaitility.await().until(() -> state(attempt).equals(state));
	}

	private String state(Attempt attempt) {
		return report(attempt).state();
	}

	private TaskReport report(Attempt attempt) {
		for (TaskReport report : this.worker.tasks().join()) {
			if (report.attempt().equals(attempt)) {
				return report;
			}
		}
		throw new AssertionError("the worker does not know " + attempt);
	}

}
