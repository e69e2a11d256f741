package org.almondmount.daemon.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.almondmount.wire.Message;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestRoutesTests {

	private final FakeTable table = new FakeTable();

	private RunningEntry entry;

	private FakeTarget target;

	@BeforeEach
	void start() {
		this.entry = new RunningEntry("entry-a", this.table).withCustomers();
		this.target = this.entry.target("w1", "lulea-a");
		Awaitility.await().until(() -> call("warm", Map.of()).statusCode() == 200);
	}

	@AfterEach
	void stop() {
		this.target.close();
		this.entry.close();
	}

	@Test
	void theInstancesAnswerComesBackWholeWithTheRequestsIdentity() {
		HttpResponse<String> answer = call("a diary of twelve lines", Map.of());
		assertThat(answer.body()).isEqualTo("a diary of twelve lines");
		assertThat(answer.headers().firstValue("almondmount-request")).isPresent();
		assertThat(answer.headers().firstValue("almondmount-target")).contains("w1");
	}

	@Test
	void aCallWithoutAKnownTokenIsRefused() {
		HttpResponse<String> answer = this.entry.post("no-such-token", "/v1/call/code", "x", Map.of());
		assertThat(answer.statusCode()).isEqualTo(401);
		assertThat(answer.headers().firstValue("content-type")).contains("application/problem+json");
		assertThat(RunningEntry.json(answer).path("kind").asText()).isEqualTo("unauthenticated");
		assertThat(RunningEntry.json(answer).path("ran").asText()).isEqualTo("not-run");
	}

	@Test
	void aWrongHeaderIsNamed() {
		HttpResponse<String> answer = call("x", Map.of("Almondmount-Deadline", "soon"));
		assertThat(answer.statusCode()).isEqualTo(400);
		assertThat(RunningEntry.json(answer).path("detail").asText()).contains("Almondmount-Deadline");
	}

	// The connection to the target goes while the instance works on a request that may
	// not run twice. Nobody can tell whether it ran, and the caller hears just that.
	@Test
	void aRequestWhoseTargetIsLostMayHaveRun() {
		this.target.answering((call) -> {
			this.target.cut();
			return null;
		});
		HttpResponse<String> answer = call("x", Map.of());
		assertThat(answer.statusCode()).isEqualTo(502);
		assertThat(RunningEntry.json(answer).path("ran").asText()).isEqualTo("may-have-run");
	}

	@Test
	void aRepeatWithTheSameKeyGetsTheRecordedAnswerAndRunsNothing() {
		Map<String, String> key = Map.of("Idempotency-Key", "k-1");
		HttpResponse<String> first = call("bill", key);
		int ran = this.target.heard(Message.Call.class).size();
		HttpResponse<String> second = call("bill", key);
		assertThat(second.body()).isEqualTo(first.body());
		assertThat(second.headers().firstValue("almondmount-request"))
			.isEqualTo(first.headers().firstValue("almondmount-request"));
		assertThat(this.target.heard(Message.Call.class)).hasSize(ran);
	}

	@Test
	void aKeyForOtherContentIsRefused() {
		call("bill", Map.of("Idempotency-Key", "k-2"));
		HttpResponse<String> answer = call("another bill", Map.of("Idempotency-Key", "k-2"));
		assertThat(answer.statusCode()).isEqualTo(422);
		assertThat(RunningEntry.json(answer).path("kind").asText()).isEqualTo("key-reused");
	}

	// The first request is still with the instance when its caller repeats it. Running
	// the repeat would bill twice; calling it not run would be false.
	@Test
	void aRepeatWhileTheFirstIsRunningMayHaveRun() {
		this.target.answering((call) -> null);
		Map<String, String> headers = Map.of("Idempotency-Key", "k-3", "Almondmount-Deadline", "3s");
		// Its entry may be closed before it is answered; the fault belongs to this future
		// and not to whichever test waits for something then.
		CompletableFuture.supplyAsync(() -> call("bill", headers));
		Awaitility.await().until(() -> !this.table.keys("keys/parish/k-3").isEmpty());
		HttpResponse<String> repeat = call("bill", headers);
		assertThat(repeat.statusCode()).isEqualTo(409);
		assertThat(RunningEntry.json(repeat).path("kind").asText()).isEqualTo("key-in-use");
		assertThat(RunningEntry.json(repeat).path("ran").asText()).isEqualTo("may-have-run");
	}

	// The table goes away after the claim. The instance has done the work, so the caller
	// gets its answer; the claim stays, and a repeat must not run it again.
	@Test
	void anAnswerThatCannotBeRecordedIsDeliveredAndTheClaimStays() {
		this.target.answering((call) -> {
			this.table.away(true);
			return new Message.CallAnswer(call.request(), call.attempt(), 200, Map.of(), call.body());
		});
		Map<String, String> key = Map.of("Idempotency-Key", "k-4");
		assertThat(call("bill", key).statusCode()).isEqualTo(200);
		this.table.away(false);
		HttpResponse<String> repeat = call("bill", key);
		assertThat(RunningEntry.json(repeat).path("kind").asText()).isEqualTo("key-in-use");
	}

	@Test
	void withTheTableAwayAKeyedRequestIsNotRunAndOthersAre() {
		this.table.away(true);
		HttpResponse<String> keyed = call("bill", Map.of("Idempotency-Key", "k-5"));
		assertThat(keyed.statusCode()).isEqualTo(503);
		assertThat(RunningEntry.json(keyed).path("kind").asText()).isEqualTo("store-away");
		assertThat(RunningEntry.json(keyed).path("ran").asText()).isEqualTo("not-run");
		assertThat(keyed.headers().firstValue("retry-after")).isPresent();
		assertThat(call("plain", Map.of()).statusCode()).isEqualTo(200);
	}

	// The claim is made, its answer is lost and can't be found out about in time. Nothing
	// was sent, so the request did not run; once settled the claim has to go, or the key
	// would be in use for good.
	@Test
	void aClaimWithALostAnswerIsRemovedOnceItIsSettled() {
		this.table.loseAnswers(FakeTable.writing("keys/"));
		HttpResponse<String> answer = call("bill", Map.of("Idempotency-Key", "k-6", "Almondmount-Deadline", "500ms"));
		assertThat(answer.statusCode()).isGreaterThanOrEqualTo(500);
		assertThat(RunningEntry.json(answer).path("ran").asText()).isEqualTo("not-run");
		this.table.settle();
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> this.table.keys("keys/parish/k-6").isEmpty());
	}

	private HttpResponse<String> call(String body, Map<String, String> headers) {
		return this.entry.post(RunningEntry.PARISH, "/v1/call/code", body, headers);
	}

}
