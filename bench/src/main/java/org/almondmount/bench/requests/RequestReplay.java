package org.almondmount.bench.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.almondmount.bench.replay.Agenda;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;
import org.almondmount.requests.RequestEvent;
import org.almondmount.slots.SlotCommand;
import org.almondmount.slots.SlotEvent;

/**
 * Replays callers, two entries and their targets under a virtual clock. Requests arrive
 * at random, each at one of the entries, seven in ten of them idempotent. A message takes
 * one millisecond. An entry drops its connection to a target that is silent for the
 * heartbeat timeout and has a new one soon after the target answers again; what was under
 * way on the old one towards the entry is lost, what lies at the target is still read.
 * One use; not thread-safe.
 */
public final class RequestReplay implements TargetSide.Network {

	private static final long MESSAGE = 1;

	private static final long HEARTBEAT = 500;

	private static final long HEARTBEAT_TIMEOUT = 2_500;

	private static final long REDIAL = 200;

	private static final long DEADLINE = 5_000;

	private static final double IDEMPOTENT_SHARE = 0.7;

	private static final List<CustomerId> CUSTOMERS = List.of(new CustomerId("norr"), new CustomerId("mitt"),
			new CustomerId("syd"), new CustomerId("vast"));

	private final RequestLoad load;

	private final Random random;

	private final Agenda agenda = new Agenda();

	private final Map<RequestId, RequestTrace> traces = new LinkedHashMap<>();

	private final Map<EntryId, EntrySide> entries = new LinkedHashMap<>();

	private final Map<TargetId, TargetSide> targets = new LinkedHashMap<>();

	private final Map<Link, Integer> connections = new HashMap<>();

	private final Map<Link, Integer> loans = new HashMap<>();

	private final Set<Link> down = new HashSet<>();

	private double nextArrival;

	public RequestReplay(RequestLoad load) {
		this.load = load;
		this.random = new Random(load.seed());
		for (int i = 0; i < 2; i++) {
			EntryId id = new EntryId("entry-" + i);
			this.entries.put(id, new EntrySide(id, load.seed() + i, this.agenda, this.traces, this, load));
		}
		for (int i = 0; i < load.targets(); i++) {
			TargetId id = new TargetId("target-" + (10 + i));
			this.targets.put(id, new TargetSide(id, new ZoneId("zone-" + i % 4), load.slots(), this.agenda,
					this::serviceTime, this));
		}
	}

	/**
	 * Runs until every request had time to end.
	 * @return the figures of the time in which a target was frozen
	 */
	public RequestFigures run() {
		Configuration configuration = Configuration.EMPTY.withRevision(1);
		for (CustomerId customer : CUSTOMERS) {
			configuration = configuration.withCustomer(new Customer(customer, 1, List.of()));
		}
		for (EntrySide entry : this.entries.values()) {
			entry.begin(configuration);
			this.targets.values().forEach((target) -> connect(entry, target));
		}
		this.agenda.at(HEARTBEAT, () -> arrive(0));
		TargetSide frozen = this.targets.values().iterator().next();
		if (this.load.freeze() != Freeze.NONE) {
			this.agenda.at(this.load.frozenFrom(), () -> freeze(frozen));
			this.agenda.at(this.load.frozenTo(), () -> thaw(frozen));
		}
		long end = this.load.length() + 3 * DEADLINE;
		while (this.agenda.now() < end && this.agenda.runNext()) {
			continue;
		}
		int exceeded = this.targets.values().stream().mapToInt(TargetSide::exceeded).sum();
		int retries = this.entries.values().stream().mapToInt(EntrySide::retries).sum();
		return RequestFigures.of(this.traces.values(), this.load.frozenFrom(), this.load.frozenTo(), retries, exceeded);
	}

	@Override
	public void fromTarget(TargetSide target, SlotCommand command) {
		if (command instanceof SlotCommand.LendSlots lend) {
			toEntry(target, lend.entry(), new RequestEvent.TargetSlotsChanged(target.id, lend.slots()));
			int loans = this.loans.merge(new Link(lend.entry(), target.id), 1, Integer::sum);
			toTargetAfter(2 * MESSAGE + HEARTBEAT, lend.entry(), target.id,
					new SlotEvent.LoanConfirmed(lend.entry(), loans));
		}
		else if (command instanceof SlotCommand.Answer answer) {
			toEntry(target, answer.entry(), new RequestEvent.Answered(answer.request(), answer.attempt(), target.id,
					RequestEvent.AnswerKind.HEALTHY));
		}
		else if (command instanceof SlotCommand.RefuseNotStarted refuse) {
			toEntry(target, refuse.entry(),
					new RequestEvent.NotStarted(refuse.request(), refuse.attempt(), target.id, refuse.reason()));
		}
		else if (command instanceof SlotCommand.AnswerBroken broken) {
			toEntry(target, broken.entry(),
					new RequestEvent.Broken(broken.request(), broken.attempt(), target.id, broken.reason()));
		}
	}

	@Override
	public void ran(RequestId request) {
		this.traces.get(request).ran();
	}

	@Override
	public void toTarget(EntryId from, TargetId to, SlotEvent event) {
		if (!this.down.contains(new Link(from, to))) {
			toTargetAfter(MESSAGE, from, to, event);
		}
	}

	private void toTargetAfter(long delay, EntryId from, TargetId to, SlotEvent event) {
		int connection = this.connections.get(new Link(from, to));
		this.agenda.after(delay, () -> {
			boolean same = this.connections.get(new Link(from, to)) == connection;
			if (same) {
				this.targets.get(to).take(event);
			}
		});
	}

	private void toEntry(TargetSide target, EntryId entry, RequestEvent event) {
		Link link = new Link(entry, target.id);
		int connection = this.connections.get(link);
		this.agenda.after(MESSAGE, () -> {
			if (!this.down.contains(link) && this.connections.get(link) == connection) {
				this.entries.get(entry).take(event);
			}
		});
	}

	private void connect(EntrySide entry, TargetSide target) {
		Link link = new Link(entry.id, target.id);
		this.connections.merge(link, 1, Integer::sum);
		this.loans.remove(link);
		this.down.remove(link);
		entry.take(new RequestEvent.TargetJoined(target.id, target.zone, 0));
		target.take(new SlotEvent.EntryJoined(entry.id));
	}

	private void freeze(TargetSide target) {
		target.freeze(this.load.freeze());
		if (target.answersHeartbeats()) {
			return;
		}
		for (EntrySide entry : this.entries.values()) {
			this.agenda.after(HEARTBEAT_TIMEOUT, () -> drop(entry, target));
		}
	}

	private void drop(EntrySide entry, TargetSide target) {
		if (!target.answersHeartbeats()) {
			this.down.add(new Link(entry.id, target.id));
			entry.take(new RequestEvent.TargetLost(target.id));
		}
	}

	private void thaw(TargetSide target) {
		target.thaw();
		for (EntrySide entry : this.entries.values()) {
			if (this.down.contains(new Link(entry.id, target.id))) {
				target.take(new SlotEvent.EntryLost(entry.id));
				this.agenda.after(REDIAL, () -> connect(entry, target));
			}
		}
	}

	private void arrive(int number) {
		if (this.agenda.now() >= this.load.length()) {
			return;
		}
		List<EntrySide> all = new ArrayList<>(this.entries.values());
		RequestTrace trace = new RequestTrace(new RequestId("request-" + number), this.agenda.now(),
				this.random.nextDouble() < IDEMPOTENT_SHARE);
		CustomerId customer = CUSTOMERS.get(this.random.nextInt(CUSTOMERS.size()));
		all.get(this.random.nextInt(all.size())).arrive(trace, customer, this.agenda.now() + DEADLINE);
		scheduleArrival(number + 1);
	}

	// Arrival times are real numbers; several may fall into one millisecond.
	private void scheduleArrival(int number) {
		this.nextArrival += exponential(1_000 / this.load.perSecond());
		this.agenda.at(HEARTBEAT + (long) this.nextArrival, () -> arrive(number));
	}

	private long serviceTime() {
		return Math.max(1, Math.round(exponential(this.load.meanService())));
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private record Link(EntryId entry, TargetId target) {
	}

}
