package org.almondmount.daemon.entry.calls;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.shell.Alarm;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.daemon.entry.store.Rows.ClaimRow;
import org.almondmount.daemon.entry.store.StoreWriter;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpExchange;
import org.almondmount.http.Problem;
import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestEvent;
import org.almondmount.requests.RequestRouter;
import org.almondmount.requests.RetryReason;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Carries out the request decisions: reads callers' requests, sends attempts to targets
 * and answers. Public methods are thread-safe; all state is owned by the requests' duty.
 */
public final class RequestShell {

	/** The family of counters for {@link RefusalReason}. */
	public static final String REFUSED = "refused";

	/** The family of counters for {@link RetryReason}. */
	public static final String RETRIED = "retried";

	private static final EventLog LOG = EventLog.of(RequestShell.class);

	private static final Duration COME_BACK = Duration.ofSeconds(1);

	private static final long RECORD_WITHIN_MILLIS = 2_000;

	private static final long TICK_MILLIS = 200;

	private static final int SERVER_ERROR = 500;

	private static final String REQUEST_HEADER = "almondmount-request";

	private static final String TARGET_HEADER = "almondmount-target";

	private final Parts parts;

	private final Alarm alarm;

	private final Map<RequestId, LiveCall> live = new HashMap<>();

	private final Map<TargetId, PeerConnection> targets = new HashMap<>();

	private final Deque<RequestEvent> events = new ArrayDeque<>();

	private boolean working;

	private boolean draining;

	private boolean configured;

	private long lastNumber;

	private CompletableFuture<Void> drained;

	/**
	 * Makes the shell; {@link #start()} begins its ticks.
	 * @param context what the entry works with
	 * @param router the decisions
	 * @param mailbox the requests' duty
	 * @param claims writes the claims of keys
	 */
	public RequestShell(EntryContext context, RequestRouter router, Mailbox mailbox, StoreWriter claims) {
		this.parts = new Parts(context.self(), router, mailbox, context.clock(),
				new KeyLedger(context.table(), claims, mailbox), context.telemetry(),
				context.settings().timing().defaultDeadline());
		this.alarm = new Alarm(context.timer(), context.clock(), mailbox, () -> feed(new RequestEvent.Tick()));
		Telemetry telemetry = context.telemetry();
		telemetry.declare(REFUSED, RefusalReason.class);
		telemetry.declare(RETRIED, RetryReason.class);
	}

	/** Begins the regular ticks. */
	public void start() {
		this.alarm.every(TICK_MILLIS);
	}

	/**
	 * Takes a caller's request, on any thread.
	 * @param customer whose token it carries
	 * @param exchange the call and the place for its answer
	 */
	public void call(CustomerId customer, HttpExchange exchange) {
		CallSpec spec;
		try {
			spec = CallSpec.read(customer, exchange.call(), this.parts.defaultDeadline);
		}
		catch (DocumentException ex) {
			refuse(exchange, Refusal.notRun(RefusalReason.INVALID, ex.getMessage()), Map.of());
			return;
		}
		long now = this.parts.clock.millis();
		if (!this.parts.mailbox.offer(() -> arrived(spec, exchange, now))) {
			refuse(exchange, Refusal.notRun(RefusalReason.OVERLOADED, "the entry's queue of requests is full")
				.withRetryAfter(COME_BACK), Map.of());
		}
	}

	/**
	 * A configuration is in force.
	 * @param configuration the configuration
	 */
	public void configurationChanged(Configuration configuration) {
		this.parts.mailbox.deliver(() -> {
			this.configured = true;
			feed(new RequestEvent.ConfigurationChanged(configuration));
		});
	}

	/**
	 * A target connected.
	 * @param connection its connection
	 */
	public void targetOpened(PeerConnection connection) {
		this.parts.mailbox.deliver(() -> opened(connection));
	}

	/**
	 * A target's connection is gone.
	 * @param connection its connection
	 */
	public void targetClosed(PeerConnection connection) {
		this.parts.mailbox.deliver(() -> closed(connection));
	}

	/**
	 * A target sent something about requests.
	 * @param connection its connection
	 * @param message the message
	 * @return false when the ring is full and it was not taken
	 */
	public boolean received(PeerConnection connection, Message message) {
		return this.parts.mailbox.offer(() -> {
			TargetId target = new TargetId(connection.peer().name());
			if (this.targets.get(target) == connection) {
				heard(target, message);
			}
		});
	}

	/**
	 * Why a request stands where it does or ended as it did.
	 * @param request the request
	 * @return the sentences, newest last; empty if it is not known here
	 */
	public CompletableFuture<List<String>> explain(RequestId request) {
		CompletableFuture<List<String>> sentences = new CompletableFuture<>();
		if (!this.parts.mailbox.offer(() -> sentences.complete(this.parts.router.explain(request)))) {
			sentences.complete(List.of());
		}
		return sentences;
	}

	/**
	 * Refuses what arrives from now on and finishes what is there.
	 * @return completes when every request has had its ending
	 */
	public CompletableFuture<Void> drain() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.parts.mailbox.deliver(() -> {
			this.draining = true;
			this.drained = done;
			feed(new RequestEvent.Draining());
		});
		return done;
	}

	private void arrived(CallSpec spec, HttpExchange exchange, long arrivedMillis) {
		RequestId request = new RequestId(this.parts.self.value() + ".r" + ++this.lastNumber);
		Map<String, String> identifiers = Map.of("request", request.value());
		if (this.draining) {
			refuse(exchange, Refusal.notRun(RefusalReason.DRAINING, "the entry shuts down"), identifiers);
			return;
		}
		if (!this.configured) {
			refuse(exchange,
					Refusal.notRun(RefusalReason.NO_CONFIGURATION, "the entry has not yet read a configuration")
						.withRetryAfter(COME_BACK),
					identifiers);
			return;
		}
		LiveCall call = new LiveCall(request, spec, exchange, arrivedMillis);
		this.live.put(request, call);
		exchange
			.onCallerDisconnected(() -> this.parts.mailbox.deliver(() -> feed(new RequestEvent.CallerGone(request))));
		feed(new RequestEvent.Arrived(request, spec.customer(), spec.idempotent(), spec.key(),
				arrivedMillis + spec.deadline().toMillis()));
	}

	private void opened(PeerConnection connection) {
		TargetId target = new TargetId(connection.peer().name());
		if (this.targets.put(target, connection) != null) {
			feed(new RequestEvent.TargetLost(target));
		}
		feed(new RequestEvent.TargetJoined(target, new ZoneId(connection.peer().zone()), 0));
	}

	private void closed(PeerConnection connection) {
		TargetId target = new TargetId(connection.peer().name());
		if (this.targets.remove(target, connection)) {
			feed(new RequestEvent.TargetLost(target));
		}
	}

	private void heard(TargetId target, Message message) {
		if (message instanceof Message.CallAnswer answer) {
			answered(target, answer);
		}
		else if (message instanceof Message.CallNotStarted not) {
			feed(new RequestEvent.NotStarted(not.request(), not.attempt(), target, not.reason()));
		}
		else if (message instanceof Message.CallBroken broken) {
			feed(new RequestEvent.Broken(broken.request(), broken.attempt(), target, broken.reason()));
		}
		else if (message instanceof Message.SlotsLent lent) {
			feed(new RequestEvent.TargetSlotsChanged(target, lent.slots()));
		}
		else if (message instanceof Message.Leaving) {
			feed(new RequestEvent.TargetDraining(target));
		}
	}

	private void answered(TargetId target, Message.CallAnswer answer) {
		LiveCall call = this.live.get(answer.request());
		if (call != null) {
			call.answered(answer);
		}
		RequestEvent.AnswerKind kind = (answer.status() < SERVER_ERROR) ? RequestEvent.AnswerKind.HEALTHY
				: RequestEvent.AnswerKind.ERROR;
		feed(new RequestEvent.Answered(answer.request(), answer.attempt(), target, kind));
	}

	// Commands can give rise to further events, such as a send that fails at once; they
	// are worked on in order, never inside one another.
	private void feed(RequestEvent event) {
		this.events.add(event);
		if (this.working) {
			return;
		}
		this.working = true;
		try {
			while (!this.events.isEmpty()) {
				this.parts.router.handle(this.parts.clock.millis(), this.events.remove()).forEach(this::carryOut);
			}
		}
		finally {
			this.working = false;
		}
		if (this.drained != null && this.live.isEmpty()) {
			this.drained.complete(null);
		}
	}

	private void carryOut(RequestCommand command) {
		if (command instanceof RequestCommand.Send send) {
			send(send);
		}
		else if (command instanceof RequestCommand.Deliver deliver) {
			deliver(deliver);
		}
		else if (command instanceof RequestCommand.Refuse refuse) {
			refused(refuse);
		}
		else if (command instanceof RequestCommand.ClaimKey claim) {
			claim(claim.request());
		}
		else if (command instanceof RequestCommand.ReleaseKey release) {
			this.parts.ledger.release(release.request());
		}
		else if (command instanceof RequestCommand.DeliverRecorded recorded) {
			deliverRecorded(recorded.request());
		}
		else if (command instanceof RequestCommand.CancelAttempt cancel) {
			cancel(cancel);
		}
		else if (command instanceof RequestCommand.CountRetry retry) {
			this.parts.telemetry.count(RETRIED, retry.reason());
		}
		else if (command instanceof RequestCommand.WakeAt wake) {
			this.alarm.at(wake.atMillis());
		}
		else if (command instanceof RequestCommand.LogDecision explain) {
			LOG.info("explain", "subject", explain.subject(), "what", explain.message());
		}
	}

	private void send(RequestCommand.Send send) {
		LiveCall call = this.live.get(send.request());
		PeerConnection connection = this.targets.get(send.target());
		long remaining = send.deadlineMillis() - this.parts.clock.millis();
		if (call == null || connection == null || remaining <= 0) {
			this.events.add(new RequestEvent.NotSent(send.request(), send.attempt(), send.target()));
			return;
		}
		CallSpec spec = call.spec();
		call.sent(send.attempt(), send.target().value());
		boolean taken = connection.send(new Message.Call(send.request(), send.attempt(), spec.customer(), remaining,
				spec.path(), spec.headers(), spec.body()));
		if (!taken) {
			this.events.add(new RequestEvent.NotSent(send.request(), send.attempt(), send.target()));
		}
	}

	private void cancel(RequestCommand.CancelAttempt cancel) {
		PeerConnection connection = this.targets.get(cancel.target());
		if (connection != null) {
			connection.send(new Message.CallCancel(cancel.request(), cancel.attempt()));
		}
	}

	private void claim(RequestId request) {
		LiveCall call = this.live.get(request);
		if (call == null) {
			return;
		}
		long deadline = call.arrivedMillis() + call.spec().deadline().toMillis();
		this.parts.ledger.claim(call, deadline, (decision) -> feed(new RequestEvent.KeyClaimEnded(request, decision)));
	}

	private void deliver(RequestCommand.Deliver deliver) {
		LiveCall call = this.live.get(deliver.request());
		if (call == null) {
			return;
		}
		Message.CallAnswer answer = call.answer(deliver.attempt());
		HttpAnswer whole = new HttpAnswer(answer.status(),
				withIdentity(answer.headers(), call, call.target(deliver.attempt())), answer.body());
		if (call.key().isEmpty()) {
			answer(call, whole);
			return;
		}
		long giveUp = this.parts.clock.millis() + RECORD_WITHIN_MILLIS;
		this.parts.ledger.record(call.request(),
				new KeyLedger.Outcome(whole.status(), whole.headers(), whole.body(), giveUp), () -> {
					answer(call, whole);
					feed(new RequestEvent.Tick());
				});
	}

	private void deliverRecorded(RequestId request) {
		LiveCall call = this.live.get(request);
		ClaimRow row = this.parts.ledger.recorded(request).orElse(null);
		if (call == null || row == null) {
			return;
		}
		if (row.body() == null) {
			refused(new RequestCommand.Refuse(request, Refusal.mayHaveRun(RefusalReason.KEY_IN_USE, "request "
					+ row.request() + " ran and was answered " + row.status() + "; its answer was too large to keep")));
			return;
		}
		answer(call, new HttpAnswer(row.status(), row.headers(), row.body()));
	}

	private void answer(LiveCall call, HttpAnswer answer) {
		end(call);
		call.exchange().answer(answer);
		this.parts.telemetry.time("call", Duration.ofMillis(this.parts.clock.millis() - call.arrivedMillis()));
	}

	private void refused(RequestCommand.Refuse refuse) {
		LiveCall call = this.live.get(refuse.request());
		if (call == null) {
			return;
		}
		end(call);
		Refusal refusal = refuse.refusal();
		LOG.info("refused", "request", call.request(), "customer", call.customer(), "kind",
				refusal.reason().externalName(), "ran", refusal.runState().externalName(), "detail", refusal.detail());
		refuse(call.exchange(), refusal, Map.of("request", call.request().value()));
	}

	private void end(LiveCall call) {
		this.live.remove(call.request());
		this.parts.ledger.ended(call.request());
	}

	private void refuse(HttpExchange exchange, Refusal refusal, Map<String, String> identifiers) {
		this.parts.telemetry.count(REFUSED, refusal.reason());
		exchange.answer(Problem.answer(refusal, identifiers));
	}

	private static Map<String, String> withIdentity(Map<String, String> headers, LiveCall call, String target) {
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put(REQUEST_HEADER, call.request().value());
		all.put(TARGET_HEADER, target);
		return all;
	}

	/**
	 * What the shell works with.
	 *
	 * @param self this run of this entry
	 * @param router the decisions
	 * @param mailbox the requests' duty
	 * @param clock its clock
	 * @param ledger the claims of keys
	 * @param telemetry counts refusals and retries
	 * @param defaultDeadline for requests that name none
	 */
	private record Parts(EntryId self, RequestRouter router, Mailbox mailbox, MonotonicClock clock, KeyLedger ledger,
			Telemetry telemetry, Duration defaultDeadline) {
	}

}
