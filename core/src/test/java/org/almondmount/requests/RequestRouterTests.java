package org.almondmount.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RequestId;
import org.almondmount.model.RunState;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.requests.RequestEvent.AnswerKind;
import org.almondmount.requests.RequestEvent.KeyClaimOutcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestRouterTests {

	private static final CustomerId ANNA = new CustomerId("anna");

	private static final CustomerId BEA = new CustomerId("bea");

	private static final ZoneId NEAR = new ZoneId("near");

	private static final ZoneId FAR = new ZoneId("far");

	private static final TargetId T1 = new TargetId("t1");

	private static final TargetId T2 = new TargetId("t2");

	private static final Configuration CONFIGURATION = Configuration.EMPTY.withRevision(1)
		.withCustomer(new Customer(ANNA, 1, List.of()))
		.withCustomer(new Customer(BEA, 1, List.of()));

	private final RequestPolicy policy = RequestPolicy.DEFAULT.withOwnZone(NEAR)
		.withTargets(TargetPolicy.DEFAULT.withSlowStart(Duration.ZERO, 1));

	private RequestRouter router;

	private List<RequestCommand> commands = List.of();

	private long now;

	@BeforeEach
	void createRouter() {
		createRouter(this.policy);
	}

	@Test
	void nothingIsServedWithoutAConfiguration() {
		this.router = RequestRouterFactory.create(this.policy, new Random(1));
		handle(new RequestEvent.TargetJoined(T1, NEAR, 8));
		arrive("r", ANNA, false);
		assertRefused("r", RefusalReason.NO_CONFIGURATION, RunState.NOT_RUN);
	}

	@Test
	void aRequestIsSentAndItsAnswerDelivered() {
		join(T1, NEAR, 1);
		arrive("r", ANNA, false);
		assertThat(sends()).containsExactly(T1);
		handle(answered("r", 1, T1));
		assertThat(this.commands).contains(new RequestCommand.Deliver(new RequestId("r"), 1));
		assertThat(this.router.outstandingCount()).isZero();
	}

	@Test
	void sendsAtMostAsManyRequestsAsSlotsAreLent() {
		join(T1, NEAR, 2);
		for (int i = 0; i < 5; i++) {
			arrive("r" + i, ANNA, false);
		}
		handle(new RequestEvent.Tick());
		assertThat(this.router.outstandingCount()).isEqualTo(5);
		handle(new RequestEvent.TargetSlotsChanged(T1, 3));
		assertThat(sends()).hasSize(1);
	}

	// Guards against refusing a request while a target that can run it is connected. In a
	// rolling restart of two targets the first has joined again but has not lent its
	// slots yet, and the second drains and did not start the request.
	@Test
	void aRequestNotStartedByADrainingTargetWaitsForATargetThatHasJustJoined() {
		join(T2, NEAR, 8);
		arrive("r", ANNA, false);
		handle(new RequestEvent.TargetJoined(T1, NEAR, 0));
		handle(new RequestEvent.TargetDraining(T2));
		handle(new RequestEvent.NotStarted(new RequestId("r"), 1, T2, "leaving"));
		assertThat(this.router.outstandingCount()).isEqualTo(1);
		handle(new RequestEvent.TargetSlotsChanged(T1, 4));
		assertThat(sends()).containsExactly(T1);
	}

	@Test
	void aRequestDoesNotWaitLongForATargetThatLendsNothing() {
		join(T2, NEAR, 8);
		arrive("r", ANNA, false);
		handle(new RequestEvent.TargetJoined(T1, NEAR, 0));
		handle(new RequestEvent.TargetDraining(T2));
		handle(new RequestEvent.NotStarted(new RequestId("r"), 1, T2, "leaving"));
		this.now += this.policy.noTargetTimeout().toMillis() + 1;
		handle(new RequestEvent.Tick());
		assertThat(this.router.outstandingCount()).isZero();
	}

	@Test
	void aTargetInTheOwnZoneIsPreferred() {
		join(T1, FAR, 8);
		join(T2, NEAR, 8);
		arrive("r", ANNA, false);
		assertThat(sends()).containsExactly(T2);
	}

	@Test
	void aTargetInAZoneOutOfServiceReceivesNoRequest() {
		handle(new RequestEvent.ConfigurationChanged(CONFIGURATION.withRevision(2).withZone(NEAR, ZoneState.OUT)));
		join(T1, NEAR, 8);
		arrive("r", ANNA, false);
		assertThat(sends()).isEmpty();
		this.now += 1_000;
		handle(new RequestEvent.Tick());
		assertRefused("r", RefusalReason.ZONE_OUT, RunState.NOT_RUN);
	}

	@Test
	void anOlderConfigurationDoesNotReplaceANewerOne() {
		handle(new RequestEvent.ConfigurationChanged(CONFIGURATION.withRevision(3).withZone(NEAR, ZoneState.OUT)));
		handle(new RequestEvent.ConfigurationChanged(CONFIGURATION.withRevision(2)));
		join(T1, NEAR, 8);
		arrive("r", ANNA, false);
		assertThat(sends()).isEmpty();
	}

	// Guards against running a non-idempotent request twice. Its target is lost and may
	// still be running it, so the request is refused immediately as may-have-run and is
	// not sent elsewhere.
	@Test
	void aRequestThatMayNotBeRepeatedIsNotSentAgainWhenItsTargetIsLost() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("r", ANNA, false);
		handle(new RequestEvent.TargetLost(T1));
		assertRefused("r", RefusalReason.TARGET_LOST, RunState.MAY_HAVE_RUN);
		assertThat(sends()).isEmpty();
	}

	@Test
	void anIdempotentRequestIsSentElsewhereWhenItsTargetIsLost() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("r", ANNA, true);
		handle(new RequestEvent.TargetLost(T1));
		assertThat(sends()).containsExactly(T2);
		assertThat(this.commands).contains(new RequestCommand.CountRetry(RetryReason.TARGET_LOST));
	}

	@Test
	void anyRequestIsSentElsewhereWhenItsTargetDidNotStartIt() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("r", ANNA, false);
		handle(new RequestEvent.NotStarted(new RequestId("r"), 1, T1, "busy"));
		assertThat(sends()).containsExactly(T2);
		handle(new RequestEvent.NotStarted(new RequestId("r"), 2, T2, "busy"));
		assertRefused("r", RefusalReason.TARGETS_BUSY, RunState.NOT_RUN);
	}

	@Test
	void aRefusalAfterALostAttemptReportsMayHaveRunEvenIfTheLastAttemptDidNotStart() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("r", ANNA, true);
		handle(new RequestEvent.TargetLost(T1));
		handle(new RequestEvent.NotStarted(new RequestId("r"), 2, T2, "busy"));
		assertRefused("r", RefusalReason.TARGETS_BUSY, RunState.MAY_HAVE_RUN);
	}

	@Test
	void anAnswerOfAnAbandonedAttemptIsNotDelivered() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("r", ANNA, true);
		handle(new RequestEvent.TargetLost(T1));
		handle(answered("r", 1, T1));
		assertThat(this.commands).noneMatch(RequestCommand.Deliver.class::isInstance);
		handle(answered("r", 2, T2));
		handle(answered("r", 2, T2));
		assertThat(this.commands).noneMatch(RequestCommand.Deliver.class::isInstance);
	}

	@Test
	void aRequestThatWaitsPastItsDeadlineIsRefusedAsNotRun() {
		join(T1, NEAR, 1);
		arrive("first", ANNA, false);
		arrive("second", ANNA, false, Optional.empty(), 500);
		assertThat(this.commands).contains(new RequestCommand.WakeAt(500));
		this.now = 500;
		handle(new RequestEvent.Tick());
		assertRefused("second", RefusalReason.DEADLINE, RunState.NOT_RUN);
	}

	@Test
	void aSentRequestPastItsDeadlineMayHaveRunAndKeepsItsSlot() {
		join(T1, NEAR, 1);
		arrive("r", ANNA, false, Optional.empty(), 500);
		this.now = 500;
		handle(new RequestEvent.Tick());
		assertRefused("r", RefusalReason.DEADLINE, RunState.MAY_HAVE_RUN);
		assertThat(this.commands).contains(new RequestCommand.CancelAttempt(new RequestId("r"), 1, T1));
		arrive("next", ANNA, false);
		assertThat(sends()).isEmpty();
		handle(answered("r", 1, T1));
		assertThat(sends()).containsExactly(T1);
	}

	@Test
	void aKeyedRequestIsSentOnlyOnceItsKeyIsClaimed() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false, Optional.of("k"), 30_000);
		assertThat(sends()).isEmpty();
		assertThat(this.commands).contains(new RequestCommand.ClaimKey(new RequestId("r")));
		handle(new RequestEvent.KeyClaimEnded(new RequestId("r"), KeyClaimOutcome.CLAIMED));
		assertThat(sends()).containsExactly(T1);
	}

	@Test
	void aClaimThatComesAfterTheDeadlineIsReleasedAndNothingIsSent() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false, Optional.of("k"), 500);
		this.now = 501;
		handle(new RequestEvent.Tick());
		assertRefused("r", RefusalReason.DEADLINE, RunState.NOT_RUN);
		handle(new RequestEvent.KeyClaimEnded(new RequestId("r"), KeyClaimOutcome.CLAIMED));
		assertThat(this.commands).contains(new RequestCommand.ReleaseKey(new RequestId("r")));
		assertThat(sends()).isEmpty();
	}

	@Test
	void theKeyOfARequestThatMayHaveRunIsNotReleased() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false, Optional.of("k"), 30_000);
		handle(new RequestEvent.KeyClaimEnded(new RequestId("r"), KeyClaimOutcome.CLAIMED));
		handle(new RequestEvent.TargetLost(T1));
		assertRefused("r", RefusalReason.TARGET_LOST, RunState.MAY_HAVE_RUN);
		assertThat(this.commands).noneMatch(RequestCommand.ReleaseKey.class::isInstance);
	}

	@Test
	void everyOtherKeyClaimOutcomeRefusesTheRequestWithoutSendingIt() {
		join(T1, NEAR, 8);
		assertKeyRefusal(KeyClaimOutcome.HELD_BY_OTHER, RefusalReason.KEY_IN_USE, RunState.MAY_HAVE_RUN);
		assertKeyRefusal(KeyClaimOutcome.DIFFERENT_CONTENT, RefusalReason.KEY_REUSED, RunState.NOT_RUN);
		assertThat(refusals()).filteredOn((refuse) -> refuse.refusal().reason() == RefusalReason.KEY_REUSED)
			.allSatisfy((refuse) -> assertThat(refuse.refusal().retryAfter()).isZero());
		assertKeyRefusal(KeyClaimOutcome.STORE_AWAY, RefusalReason.STORE_AWAY, RunState.NOT_RUN);
		assertKeyRefusal(KeyClaimOutcome.UNKNOWN, RefusalReason.STORE_UNKNOWN, RunState.NOT_RUN);
	}

	@Test
	void aCustomerAtItsQueueLimitDoesNotUseTheShareOfOthers() {
		createRouter(this.policy.withQueueLimit(20).withMinQueuePerCustomer(1));
		join(T1, NEAR, 1);
		for (int i = 0; i < 12; i++) {
			arrive("a" + i, ANNA, false);
		}
		assertRefused("a11", RefusalReason.CUSTOMER_LIMIT, RunState.NOT_RUN);
		arrive("b", BEA, false);
		assertThat(refusals()).isEmpty();
	}

	// Guards against a customer with slow requests taking most of the slots. The requests
	// of anna take ten times as long as those of bea: by request count, anna would get
	// ten times the slot time; by slot time, both get the same.
	@Test
	void slotsAreSharedBySlotTimeAndNotByRequestCount() {
		createRouter(this.policy.withQueueLimit(10_000));
		join(T1, NEAR, 1);
		arrive("a-first", ANNA, false, Optional.empty(), Long.MAX_VALUE / 4);
		Optional<RequestCommand.Send> sent = firstSend();
		for (int i = 0; i < 1_000; i++) {
			arrive("a" + i, ANNA, false, Optional.empty(), Long.MAX_VALUE / 4);
			arrive("b" + i, BEA, false, Optional.empty(), Long.MAX_VALUE / 4);
		}
		long[] served = new long[2];
		for (int i = 0; i < 1_000; i++) {
			boolean slow = sent.orElseThrow().request().value().startsWith("a");
			long time = slow ? 100 : 10;
			served[slow ? 0 : 1] += time;
			this.now += time;
			handle(answered(sent.orElseThrow().request().value(), 1, T1));
			sent = firstSend();
		}
		assertThat((double) served[0] / served[1]).isBetween(0.9, 1.1);
	}

	@Test
	void retriesStayWithinTheirBudget() {
		createRouter(this.policy.withRetries(3, 0.2, 2));
		for (int i = 0; i < 40; i++) {
			join(new TargetId("x" + i), FAR, 8);
		}
		int retries = 0;
		for (int i = 0; i < 100; i++) {
			arrive("r" + i, ANNA, true);
			Optional<RequestCommand.Send> sent = firstSend();
			while (sent.isPresent()) {
				handle(new RequestEvent.Broken(sent.get().request(), sent.get().attempt(), sent.get().target(), "x"));
				sent = firstSend();
				retries += sent.isPresent() ? 1 : 0;
			}
		}
		assertThat(retries).isLessThanOrEqualTo(22);
	}

	@Test
	void aTargetWithConsecutiveErrorsIsEjectedAndProbedWithOneRequest() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		for (int i = 0; i < 5; i++) {
			arrive("r" + i, ANNA, false);
			handle(new RequestEvent.Answered(new RequestId("r" + i), 1, T1, AnswerKind.ERROR));
		}
		assertThat(this.commands).anyMatch(RequestCommand.LogDecision.class::isInstance);
		arrive("elsewhere", ANNA, false);
		assertThat(sends()).containsExactly(T2);
		handle(answered("elsewhere", 1, T2));
		this.now += 5_000;
		arrive("trial", ANNA, false);
		assertThat(sends()).containsExactly(T1);
		arrive("beside", ANNA, false);
		assertThat(sends()).containsExactly(T2);
	}

	@Test
	void noMoreTargetsAreEjectedThanTheCapAllows() {
		for (int i = 0; i < 6; i++) {
			join(new TargetId("x" + i), NEAR, 8);
		}
		for (int i = 0; i < 200; i++) {
			arrive("r" + i, ANNA, false);
			Optional<RequestCommand.Send> sent = firstSend();
			handle(new RequestEvent.Answered(new RequestId("r" + i), 1, sent.orElseThrow().target(), AnswerKind.ERROR));
		}
		arrive("last", ANNA, false);
		assertThat(sends()).hasSize(1);
	}

	@Test
	void aDrainingTargetReceivesNoNewRequestAndItsAnswersAreDelivered() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false);
		handle(new RequestEvent.TargetDraining(T1));
		arrive("next", ANNA, false);
		assertThat(sends()).isEmpty();
		handle(answered("r", 1, T1));
		assertThat(this.commands).contains(new RequestCommand.Deliver(new RequestId("r"), 1));
	}

	@Test
	void drainingRefusesNewRequestsAndFinishesAcceptedOnes() {
		join(T1, NEAR, 1);
		arrive("sent", ANNA, false);
		arrive("waiting", ANNA, false);
		handle(new RequestEvent.Draining());
		arrive("late", ANNA, false);
		assertRefused("late", RefusalReason.DRAINING, RunState.NOT_RUN);
		handle(answered("sent", 1, T1));
		assertThat(sends()).containsExactly(T1);
	}

	@Test
	void theAttemptIsCancelledWhenItsCallerDisconnects() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false);
		handle(new RequestEvent.CallerGone(new RequestId("r")));
		assertThat(this.commands).contains(new RequestCommand.CancelAttempt(new RequestId("r"), 1, T1));
		assertRefused("r", RefusalReason.CALLER_GONE, RunState.MAY_HAVE_RUN);
		assertThat(this.router.outstandingCount()).isZero();
	}

	// Guards against running a request twice. An earlier request with the same key is
	// still running; releasing the key now would allow a third request to run at the same
	// time.
	@Test
	void theKeyOfAnotherRequestIsNotReleased() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false, Optional.of("k"), 30_000);
		handle(new RequestEvent.KeyClaimEnded(new RequestId("r"), KeyClaimOutcome.HELD_BY_OTHER));
		assertThat(this.commands).noneMatch(RequestCommand.ReleaseKey.class::isInstance);
	}

	@Test
	void theKeyIsReleasedWhenTheCallerDisconnectsBeforeTheRequestIsSent() {
		arrive("r", ANNA, false, Optional.of("k"), 30_000);
		handle(new RequestEvent.KeyClaimEnded(new RequestId("r"), KeyClaimOutcome.CLAIMED));
		handle(new RequestEvent.CallerGone(new RequestId("r")));
		assertThat(this.commands).contains(new RequestCommand.ReleaseKey(new RequestId("r")));
		assertRefused("r", RefusalReason.CALLER_GONE, RunState.NOT_RUN);
	}

	@Test
	void theAnswerOfASentKeyedRequestIsDeliveredAfterItsCallerDisconnects() {
		join(T1, NEAR, 8);
		arrive("r", ANNA, false, Optional.of("k"), 30_000);
		handle(new RequestEvent.KeyClaimEnded(new RequestId("r"), KeyClaimOutcome.CLAIMED));
		handle(new RequestEvent.CallerGone(new RequestId("r")));
		handle(answered("r", 1, T1));
		assertThat(this.commands).contains(new RequestCommand.Deliver(new RequestId("r"), 1));
	}

	@Test
	void onlySlowIdempotentRequestsAreHedgedIfHedgingIsEnabled() {
		createRouter(this.policy.withHedgeAfter(Duration.ofMillis(100)));
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("once", ANNA, false);
		arrive("r", ANNA, true);
		this.now = 100;
		handle(new RequestEvent.Tick());
		assertThat(sends()).containsExactly(T2);
		handle(answered("r", 2, T2));
		assertThat(this.commands).contains(new RequestCommand.Deliver(new RequestId("r"), 2),
				new RequestCommand.CancelAttempt(new RequestId("r"), 1, T1));
	}

	@Test
	void anUnresponsiveTargetIsEjected() {
		join(T1, NEAR, 8);
		join(T2, FAR, 8);
		arrive("measured", ANNA, false);
		this.now = 10;
		handle(answered("measured", 1, T1));
		arrive("stuck", ANNA, false);
		this.now = 1_100;
		handle(new RequestEvent.Tick());
		assertThat(this.commands).anyMatch(RequestCommand.LogDecision.class::isInstance);
		arrive("next", ANNA, false);
		assertThat(sends()).containsExactly(T2);
	}

	@Test
	void slowStartLimitsTheSlotsOfANewTarget() {
		createRouter(this.policy.withTargets(TargetPolicy.DEFAULT.withSlowStart(Duration.ofSeconds(4), 0.25)));
		join(T1, NEAR, 8);
		for (int i = 0; i < 8; i++) {
			arrive("r" + i, ANNA, false);
		}
		this.now = 2_000;
		handle(new RequestEvent.Tick());
		assertThat(sends()).hasSize(3);
	}

	private void assertKeyRefusal(KeyClaimOutcome outcome, RefusalReason reason, RunState ran) {
		String id = "key-" + outcome;
		arrive(id, ANNA, false, Optional.of(id), 30_000);
		handle(new RequestEvent.KeyClaimEnded(new RequestId(id), outcome));
		assertRefused(id, reason, ran);
		assertThat(sends()).isEmpty();
	}

	private void createRouter(RequestPolicy options) {
		this.now = 0;
		this.router = RequestRouterFactory.create(options, new Random(7));
		handle(new RequestEvent.ConfigurationChanged(CONFIGURATION));
	}

	private void join(TargetId target, ZoneId zone, int slots) {
		handle(new RequestEvent.TargetJoined(target, zone, slots));
	}

	private void arrive(String id, CustomerId customer, boolean idempotent) {
		arrive(id, customer, idempotent, Optional.empty(), 30_000);
	}

	private void arrive(String id, CustomerId customer, boolean idempotent, Optional<String> key, long timeoutMillis) {
		handle(new RequestEvent.Arrived(new RequestId(id), customer, idempotent, key, this.now + timeoutMillis));
	}

	private void handle(RequestEvent event) {
		this.commands = this.router.handle(this.now, event);
	}

	private static RequestEvent answered(String id, int attempt, TargetId target) {
		return new RequestEvent.Answered(new RequestId(id), attempt, target, AnswerKind.HEALTHY);
	}

	private List<TargetId> sends() {
		List<TargetId> targets = new ArrayList<>();
		for (RequestCommand command : this.commands) {
			if (command instanceof RequestCommand.Send send) {
				targets.add(send.target());
			}
		}
		return targets;
	}

	private Optional<RequestCommand.Send> firstSend() {
		return this.commands.stream()
			.filter(RequestCommand.Send.class::isInstance)
			.map(RequestCommand.Send.class::cast)
			.findFirst();
	}

	private List<RequestCommand.Refuse> refusals() {
		return this.commands.stream()
			.filter(RequestCommand.Refuse.class::isInstance)
			.map(RequestCommand.Refuse.class::cast)
			.toList();
	}

	private void assertRefused(String id, RefusalReason reason, RunState ran) {
		assertThat(refusals()).anySatisfy((refuse) -> {
			assertThat(refuse.request()).isEqualTo(new RequestId(id));
			assertThat(refuse.refusal().reason()).isEqualTo(reason);
			assertThat(refuse.refusal().runState()).isEqualTo(ran);
		});
	}

}
