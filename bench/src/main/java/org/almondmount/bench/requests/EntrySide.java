package org.almondmount.bench.requests;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.almondmount.bench.replay.Agenda;
import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestEvent;
import org.almondmount.requests.RequestPolicy;
import org.almondmount.requests.RequestRouter;
import org.almondmount.requests.RequestRouterFactory;
import org.almondmount.slots.SlotEvent;

/**
 * An entry: its router and what the router's commands lead to. Not thread-safe.
 */
final class EntrySide {

	private static final long TICK = 100;

	final EntryId id;

	private final RequestRouter router;

	private final Agenda agenda;

	private final Map<RequestId, RequestTrace> traces;

	private final TargetSide.Network network;

	private final long countFrom;

	private final long countTo;

	private int retries;

	EntrySide(EntryId id, long seed, Agenda agenda, Map<RequestId, RequestTrace> traces, TargetSide.Network network,
			RequestLoad load) {
		this.id = id;
		this.router = RequestRouterFactory.create(RequestPolicy.DEFAULT, new Random(seed));
		this.agenda = agenda;
		this.traces = traces;
		this.network = network;
		this.countFrom = load.frozenFrom();
		this.countTo = load.frozenTo();
	}

	void begin(Configuration configuration) {
		take(new RequestEvent.ConfigurationChanged(configuration));
		tick();
	}

	int retries() {
		return this.retries;
	}

	void arrive(RequestTrace trace, CustomerId customer, long deadline) {
		this.traces.put(trace.id, trace);
		take(new RequestEvent.Arrived(trace.id, customer, trace.idempotent, Optional.empty(), deadline));
	}

	void take(RequestEvent event) {
		List<RequestCommand> commands = this.router.handle(this.agenda.now(), event);
		commands.forEach(this::carryOut);
	}

	private void tick() {
		take(new RequestEvent.Tick());
		this.agenda.after(TICK, this::tick);
	}

	private void carryOut(RequestCommand command) {
		if (command instanceof RequestCommand.Send send) {
			this.network.toTarget(this.id, send.target(),
					new SlotEvent.CallReceived(this.id, send.request(), send.attempt(), send.deadlineMillis()));
		}
		else if (command instanceof RequestCommand.CancelAttempt cancel) {
			this.network.toTarget(this.id, cancel.target(),
					new SlotEvent.CallCancelled(this.id, cancel.request(), cancel.attempt()));
		}
		else if (command instanceof RequestCommand.Deliver deliver) {
			this.traces.get(deliver.request()).delivered(this.agenda.now());
		}
		else if (command instanceof RequestCommand.Refuse refuse) {
			this.traces.get(refuse.request()).refused(this.agenda.now(), refuse.refusal());
		}
		else if (command instanceof RequestCommand.CountRetry) {
			boolean counted = this.agenda.now() >= this.countFrom && this.agenda.now() < this.countTo;
			this.retries += counted ? 1 : 0;
		}
		else if (command instanceof RequestCommand.WakeAt wake) {
			this.agenda.at(wake.atMillis(), () -> take(new RequestEvent.Tick()));
		}
	}

}
