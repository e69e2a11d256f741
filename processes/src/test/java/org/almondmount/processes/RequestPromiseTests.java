package org.almondmount.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers of requests can rely on, with real processes. The instances' stand-ins
 * count what they ran by themselves.
 */
class RequestPromiseTests {

	/** Heartbeat timeout, its tick and a margin for a busy machine. */
	private static final long LEAVING_KNOWN_MILLIS = 3_000;

	private static final int SLOTS = 8;

	private static Site site;

	@BeforeAll
	static void start() {
		site = Site.start("request-promises", 2, List.of("lulea-a", "lulea-a"));
		site.createCustomers();
	}

	@AfterAll
	static void stop() {
		site.close();
	}

	@BeforeEach
	void everyEntryReachesEveryTarget() {
		for (Site.Entry entry : site.entries()) {
			for (Site.Target target : site.targets()) {
				site.await(entry.name() + " reaches " + target.name(),
						() -> target.name().equals(call(entry, Map.of(), "probe").headers().get("almondmount-target")));
			}
		}
	}

	// Caller: the instances are full of work that came past us and say that they did not
	// start it. It hears "not run", and when they are free again nothing of it runs.
	@Test
	void notRunIsTrueWhenNoInstanceStartedTheRequest() {
		List<CompletableFuture<Api.Reply>> past = new ArrayList<>();
		for (Site.Target target : site.targets()) {
			for (int i = 0; i < SLOTS; i++) {
				past.add(target.instance().send("POST", "/code", sleeping(1_500), "past"));
			}
			site.await("the instance is full", () -> runningAt(target) == SLOTS);
		}
		Api.Reply reply = call(site.entry(0), Map.of(), "body");
		past.forEach(CompletableFuture::join);
		everyEntryReachesEveryTarget();
		assertRan(reply, "not-run", 0);
	}

	// Caller: every slot is in use until after its deadline. It hears "not run" at the
	// deadline and not later, and nothing of it runs when the slots are free.
	@Test
	void notRunIsTrueOfARequestThatWaitedPastItsDeadline() {
		List<CompletableFuture<Api.Reply>> busy = new ArrayList<>();
		for (int i = 0; i < 2 * SLOTS; i++) {
			busy.add(begin(site.entry(0), sleeping(1_500), "busy"));
		}
		site.await("both instances work", () -> site.targets().stream().allMatch((target) -> runningAt(target) > 0));
		long began = System.currentTimeMillis();
		Api.Reply reply = call(site.entry(0), Map.of("almondmount-deadline", "500ms"), "body");
		assertThat(System.currentTimeMillis() - began).isLessThan(1_400);
		busy.forEach((each) -> assertThat(each.join().status()).isEqualTo(200));
		everyEntryReachesEveryTarget();
		assertRan(reply, "not-run", 0);
	}

	// Caller: the target is killed while the instance works. Whether the work ends nobody
	// can tell, so that the caller hears "may have run" and nothing is sent to another
	// target.
	@Test
	void aRequestWhoseTargetIsKilledMayHaveRunAndRunsOnce() {
		CompletableFuture<Api.Reply> reply = begin(site.entry(0), sleeping(2_000), "body");
		Site.Target busy = busyTarget();
		busy.process().kill();
		assertRan(reply.join(), "may-have-run", 1);
		busy.start();
	}

	// Entry: hears nothing any more from the target, whose answer is on the way and lost.
	// After the heartbeat timeout it gives up the connection and tells the truth it
	// knows.
	@Test
	void aRequestWhoseAnswerIsLostMayHaveRunAndRunsOnce() {
		CompletableFuture<Api.Reply> reply = begin(site.entry(0), sleeping(500), "body");
		busyTarget();
		site.entry(0).door().loseRequests();
		assertRan(reply.join(), "may-have-run", 1);
		site.entry(0).door().heal();
	}

	// Caller: answers come in another order than the requests went out, through both
	// entries.
	@Test
	void everyCallerGetsItsOwnWholeAnswerHoweverTheyCross() {
		Map<String, CompletableFuture<Api.Reply>> replies = new HashMap<>();
		for (int i = 0; i < 24; i++) {
			String body = "body-" + i;
			replies.put(body, begin(site.entry(i % 2), sleeping(20 + (i * 37) % 300), body));
		}
		replies.forEach((body, reply) -> {
			assertThat(reply.join().status()).isEqualTo(200);
			assertThat(reply.join().body()).isEqualTo(body);
		});
	}

	@Test
	void aLargeAnswerComesWhole() {
		Api.Reply reply = call(site.entry(0), Map.of("x-answer-bytes", "3000000"), "body");
		assertThat(reply.status()).isEqualTo(200);
		assertThat(reply.body()).hasSize(3_000_000);
	}

	// Callers: use one key through both entries at the same moment. One runs; the other
	// gets its answer or hears that it may have run. An answer that is given again names
	// the request that ran, so each request is counted once.
	@Test
	void theSameKeyThroughBothEntriesAtOnceRunsOnce() {
		for (int round = 0; round < 10; round++) {
			Map<String, String> headers = Map.of("idempotency-key", "both-" + round, "x-sleep-millis", "50");
			List<CompletableFuture<Api.Reply>> replies = new ArrayList<>();
			for (int i = 0; i < 4; i++) {
				replies.add(begin(site.entry(i % 2), headers, "body"));
			}
			Set<String> requests = new LinkedHashSet<>();
			for (CompletableFuture<Api.Reply> reply : replies) {
				requests.add(requestOf(reply.join()));
				assertThat(reply.join().status() == 200 || reply.join().text("ran").equals("may-have-run")).isTrue();
			}
			assertThat(requests.stream().mapToInt(site::runs).sum()).as(requests.toString()).isOne();
		}
	}

	// Caller: its entry dies with the request at the instance. It repeats the request
	// with the same key through the other entry and hears that the first one may have
	// run.
	@Test
	void aRepeatWithTheSameKeyAfterItsEntryDiedDoesNotRunAgain() {
		Map<String, String> headers = Map.of("idempotency-key", "dies", "x-sleep-millis", "1500");
		CompletableFuture<Api.Reply> first = begin(site.entry(0), headers, "body");
		Site.Target busy = busyTarget();
		int before = runsAt(busy);
		site.entry(0).process().kill();
		assertThat(first.join().status()).isZero();
		Api.Reply repeat = call(site.entry(1), headers, "body");
		site.entry(0).start();
		assertThat(repeat.text("kind")).isEqualTo("key-in-use");
		assertThat(repeat.text("ran")).isEqualTo("may-have-run");
		assertThat(site.runs(repeat.text("request"))).isZero();
		assertThat(runsAt(busy)).isEqualTo(before);
	}

	// Caller: the table is away, so that its key can't be claimed. Nothing is sent; calls
	// without a key go on.
	@Test
	void aKeyedRequestIsNotSentWhileTheTableIsAway() {
		site.entry(0).toTable().partition();
		Api.Reply keyed = call(site.entry(0), Map.of("idempotency-key", "away", "almondmount-deadline", "4s"), "body");
		Api.Reply plain = call(site.entry(0), Map.of(), "body");
		site.entry(0).toTable().heal();
		assertRan(keyed, "not-run", 0);
		assertThat(plain.status()).isEqualTo(200);
	}

	// Callers: keep calling while one target is told to end. No call is refused or cut,
	// and a few seconds later its instance gets nothing more.
	@Test
	void aLeavingTargetGetsNoNewWorkAndCutsNone() {
		Site.Target leaving = site.target(1);
		List<CompletableFuture<Api.Reply>> replies = new ArrayList<>();
		long told = 0;
		for (int i = 0; i < 250; i++) {
			replies.add(begin(site.entry(i % 2), sleeping(30), "body"));
			if (i == 50) {
				told = System.currentTimeMillis();
				leaving.process().terminate();
			}
			Pace.tick(20);
		}
		replies.forEach((reply) -> assertThat(reply.join()).matches(Api.Reply::ok));
		assertThat(leaving.process().awaitExit(20)).isZero();
		for (JsonNode event : leaving.instance().get("/admin/log").json().path("events")) {
			boolean run = event.path("event").asText().equals("run");
			assertThat(run && event.path("atMillis").asLong() > told + LEAVING_KNOWN_MILLIS).isFalse();
		}
		leaving.start();
	}

	private static Api.Reply call(Site.Entry entry, Map<String, String> headers, String body) {
		return begin(entry, headers, body).join();
	}

	private static CompletableFuture<Api.Reply> begin(Site.Entry entry, Map<String, String> headers, String body) {
		return entry.as(Site.NORRBOTTEN).send("POST", "/v1/call/code", headers, body);
	}

	private static Map<String, String> sleeping(int millis) {
		return Map.of("x-sleep-millis", Integer.toString(millis));
	}

	private static Site.Target busyTarget() {
		List<Site.Target> busy = new ArrayList<>();
		site.await("an instance works", () -> {
			for (Site.Target target : site.targets()) {
				if (runningAt(target) > 0) {
					busy.add(target);
				}
			}
			return !busy.isEmpty();
		});
		return busy.get(0);
	}

	private static int runningAt(Site.Target target) {
		return target.instance().get("/admin/runs").json().path("running").asInt();
	}

	private static int runsAt(Site.Target target) {
		return target.instance().get("/admin/runs").json().path("runs").size();
	}

	private static String requestOf(Api.Reply reply) {
		return (reply.status() == 200) ? reply.headers().get("almondmount-request") : reply.text("request");
	}

	private static void assertRan(Api.Reply reply, String ran, int runs) {
		assertThat(reply.text("ran")).as(reply.toString()).isEqualTo(ran);
		assertThat(site.runs(reply.text("request"))).isEqualTo(runs);
	}

}
