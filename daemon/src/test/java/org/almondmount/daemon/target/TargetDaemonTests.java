package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpExchange;
import org.almondmount.http.HttpLimits;
import org.almondmount.http.HttpServer;
import org.almondmount.http.impl.NettyHttpClient;
import org.almondmount.http.impl.NettyHttpServer;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RackId;
import org.almondmount.model.RequestId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.net.IoThreads;
import org.almondmount.settings.TargetSettings;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.wire.impl.NettyWireEndpoint;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetDaemonTests {

	private static final PeerSettings PEER = new PeerSettings("secret", Duration.ofMillis(600), Duration.ofSeconds(2),
			1 << 20, 1 << 20);

	private static final TargetSettings.Timing TIMING = new TargetSettings.Timing(Duration.ofMillis(100),
			Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofMillis(50),
			Duration.ofSeconds(10));

	private final IoThreads io = new IoThreads("test-io", 2);

	private final Telemetry telemetry = new Telemetry();

	private final WireEndpoint wire = new NettyWireEndpoint(this.io, this.telemetry);

	private final List<HttpExchange> instance = new CopyOnWriteArrayList<>();

	private HttpServer instanceServer;

	private FakeEntry entry;

	private TargetDaemon target;

	@BeforeEach
	void start() {
		this.instanceServer = NettyHttpServer
			.start(this.io, new InetSocketAddress("127.0.0.1", 0), HttpLimits.DEFAULT, this.instance::add,
					this.telemetry)
			.join();
		this.entry = new FakeEntry(this.wire, "one", 0, PEER);
		WorkerInfo worker = new WorkerInfo(new WorkerId("w1"), new ZoneId("z"), new RackId("r"),
				new Resources(8, 8, 8));
		TargetSettings settings = new TargetSettings(this.entry.address(), worker,
				new InetSocketAddress("127.0.0.1", 1), this.instanceServer.address(), 2, 4, PEER, TIMING);
		this.target = new TargetDaemon(settings, new NettyHttpClient(this.io, 4, 1 << 20), new FakeWorker(), this.wire,
				this.telemetry);
		this.target.start();
	}

	@AfterEach
	void stop() {
		this.target.close();
		this.entry.close();
		this.instanceServer.close();
		this.io.close();
	}

	@Test
	void itLendsItsSlotsPassesACallAndGivesTheWholeAnswer() {
		until(() -> assertThat(this.entry.heard(Message.SlotsLent.class)).contains(new Message.SlotsLent(2)));
		this.entry.call("r", 1, 10_000);
		until(() -> assertThat(this.instance).hasSize(1));
		assertThat(this.instance.get(0).call().headers()).containsEntry("x-request-id", "r")
			.containsEntry("x-attempt", "1");
		this.instance.get(0).answer(new HttpAnswer(200, Map.of(), new byte[] { 1, 2, 3 }));
		until(() -> assertThat(this.entry.heard(Message.CallAnswer.class)).singleElement().satisfies((answer) -> {
			assertThat(answer.request()).isEqualTo(new RequestId("r"));
			assertThat(answer.body()).containsExactly(1, 2, 3);
		}));
	}

	@Test
	void itNeverPassesMoreThanItsSlots() {
		until(() -> assertThat(this.entry.isLinked()).isTrue());
		for (int i = 0; i < 5; i++) {
			this.entry.call("r" + i, 1, 10_000);
		}
		until(() -> assertThat(this.entry.heard(Message.CallNotStarted.class)).hasSize(3));
		until(() -> assertThat(this.instance).hasSize(2));
	}

	@Test
	void itLinksToEveryEntryThatItHearsOf() {
		try (FakeEntry other = new FakeEntry(this.wire, "two", 0, PEER)) {
			this.entry.knows("127.0.0.1:" + other.address().getPort());
			until(() -> assertThat(other.isLinked()).isTrue());
			until(() -> assertThat(other.heard(Message.Heartbeat.class)).isNotEmpty());
			assertThat(this.entry.isLinked()).isTrue();
		}
	}

	// Network: everything from the entry is held back while the connection stays open and
	// heartbeats still arrive there. The target gives the connection up after the
	// heartbeat timeout and comes back on a new one.
	@Test
	void itDropsAConnectionWhoseHeartbeatsAreNotAnsweredAndComesBack() {
		until(() -> assertThat(this.entry.heard(Message.Heartbeat.class)).isNotEmpty());
		this.entry.answersHeartbeats(false);
		until(() -> assertThat(this.entry.isLinked()).isFalse());
		this.entry.answersHeartbeats(true);
		until(() -> assertThat(this.entry.isLinked()).isTrue());
	}

	// Caller: its request is at the instance when the target is told to end. The entry
	// hears of the leaving at once and the answer still comes whole.
	@Test
	void drainingAnnouncesItAndFinishesWhatIsThere() {
		until(() -> assertThat(this.entry.isLinked()).isTrue());
		this.entry.call("r", 1, 10_000);
		until(() -> assertThat(this.instance).hasSize(1));
		CompletableFuture<Boolean> ended = this.target.drain();
		until(() -> assertThat(this.entry.heard(Message.Leaving.class)).isNotEmpty());
		this.entry.call("late", 1, 10_000);
		until(() -> assertThat(this.entry.heard(Message.CallNotStarted.class)).hasSize(1));
		assertThat(ended).isNotDone();
		this.instance.get(0).answer(new HttpAnswer(200, Map.of(), new byte[0]));
		until(() -> assertThat(this.entry.heard(Message.CallAnswer.class)).hasSize(1));
		until(() -> assertThat(ended).isCompletedWithValue(true));
	}

	// Entry: never says that the gang is whole. The member runs for the gang timeout of
	// two seconds and is then suspended, and its end is reported until it is recorded.
	@Test
	void aMemberIsStartedAndSuspendedWhenNobodyCallsItsGangWhole() {
		Attempt attempt = new Attempt(new JobId("j"), 1);
		JobSpec spec = new JobSpec(new CustomerId("anna"), "weigh",
				new GangShape(1, new Resources(8, 1, 1), Adjacency.RACK), Urgency.NORMAL, true, Duration.ofHours(1),
				Duration.ofMinutes(1), "run");
		until(() -> assertThat(this.entry.heard(Message.Heartbeat.class)).anyMatch((beat) -> beat.revision() == 1));
		this.entry.send(new Message.Prepare(1, attempt, 0, spec, false));
		until(() -> assertThat(this.entry.heard(Message.MemberReport.class))
			.contains(new Message.MemberReport(attempt, 0, Message.Report.PREPARED, "")));
		this.entry.send(new Message.MemberOrder(1, attempt, 0, Message.Order.START));
		until(() -> assertThat(this.entry.heard(Message.MemberReport.class))
			.contains(new Message.MemberReport(attempt, 0, Message.Report.STARTED, "")));
		until(() -> assertThat(this.entry.heard(Message.MemberEnded.class))
			.contains(new Message.MemberEnded(attempt, 0, JobOutcome.SUSPENDED)));
	}

	private static void until(Runnable assertion) {
		Awaitility.await()
			.atMost(Duration.ofSeconds(15))
			.pollInterval(Duration.ofMillis(10))
			.untilAsserted(assertion::run);
	}

}
