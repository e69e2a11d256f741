package org.almondmount.daemon.target;

import java.util.HashMap;
import java.util.Map;

import org.almondmount.http.HttpAnswer;
import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.slots.SlotCommand;
import org.almondmount.slots.SlotEvent;
import org.almondmount.slots.SlotGate;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;

/**
 * Carries out what the slot gate decides. Owned by the decisions duty.
 */
final class SlotShell {

	private static final EventLog LOG = EventLog.of(SlotShell.class);

	private final SlotGate gate;

	private final InstanceCalls instance;

	private final EntryDirectory entries;

	private final Telemetry telemetry;

	private boolean leaving;

	private boolean drained;

	SlotShell(SlotGate gate, InstanceCalls instance, EntryDirectory entries, Telemetry telemetry) {
		this.gate = gate;
		this.instance = instance;
		this.entries = entries;
		this.telemetry = telemetry;
	}

	boolean drained() {
		return this.drained;
	}

	boolean leaving() {
		return this.leaving;
	}

	int inUse() {
		return this.gate.inUse();
	}

	void handle(long now, SlotEvent event) {
		for (SlotCommand command : this.gate.handle(now, event)) {
			carryOut(now, command, null, null);
		}
	}

	void call(long now, EntryId entry, Message.Call call) {
		SlotEvent event = new SlotEvent.CallReceived(entry, call.request(), call.attempt(),
				now + call.remainingMillis());
		for (SlotCommand command : this.gate.handle(now, event)) {
			carryOut(now, command, call, null);
		}
	}

	void answered(long now, RequestId request, int attempt, HttpAnswer answer) {
		for (SlotCommand command : this.gate.handle(now, new SlotEvent.CallEnded(request, attempt))) {
			carryOut(now, command, null, answer);
		}
	}

	private void carryOut(long now, SlotCommand command, Message.Call call, HttpAnswer answer) {
		if (command instanceof SlotCommand.LendSlots lend) {
			this.entries.link(lend.entry()).ifPresent((link) -> {
				if (!link.lend(lend.slots())) {
					link.connection().close(CloseReason.LOCAL);
				}
			});
		}
		else if (command instanceof SlotCommand.Run run) {
			this.telemetry.count("calls-run");
			this.instance.run(call, run.deadlineMillis() - now);
		}
		else if (command instanceof SlotCommand.Answer done) {
			answer(done, answer);
		}
		else if (command instanceof SlotCommand.RefuseNotStarted refuse) {
			this.telemetry.count("calls-not-started");
			LOG.info("call-not-started", "request", refuse.request(), "attempt", refuse.attempt(), "why",
					refuse.reason());
			tell(refuse.entry(), new Message.CallNotStarted(refuse.request(), refuse.attempt(), refuse.reason()));
		}
		else if (command instanceof SlotCommand.AnswerBroken broken) {
			this.telemetry.count("calls-broken");
			LOG.warn("call-broken", "request", broken.request(), "attempt", broken.attempt(), "why", broken.reason());
			tell(broken.entry(), new Message.CallBroken(broken.request(), broken.attempt(), broken.reason()));
		}
		else if (command instanceof SlotCommand.AnnounceDraining) {
			this.leaving = true;
			this.entries.links().forEach((link) -> link.connection().send(new Message.Leaving()));
		}
		else if (command instanceof SlotCommand.Drained) {
			this.drained = true;
		}
	}

	private void answer(SlotCommand.Answer done, HttpAnswer answer) {
		Message whole = new Message.CallAnswer(done.request(), done.attempt(), answer.status(),
				passedOn(answer.headers()), answer.body());
		boolean taken = this.entries.link(done.entry()).map((link) -> link.connection().send(whole)).orElse(true);
		if (!taken) {
			tell(done.entry(), new Message.CallBroken(done.request(), done.attempt(),
					"the answer is larger than the connection takes"));
		}
	}

	// An ending that the connection does not take would leave the entry waiting for ever.
	// Closing has the entry settle everything that is open on it at once.
	private void tell(EntryId entry, Message message) {
		this.entries.link(entry).ifPresent((link) -> {
			if (!link.connection().send(message)) {
				link.connection().close(CloseReason.LOCAL);
			}
		});
	}

	private static Map<String, String> passedOn(Map<String, String> headers) {
		Map<String, String> passed = new HashMap<>(headers);
		passed.remove("connection");
		passed.remove("content-length");
		passed.remove("transfer-encoding");
		passed.remove("keep-alive");
		return passed;
	}

}
