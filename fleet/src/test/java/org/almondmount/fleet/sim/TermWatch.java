package org.almondmount.fleet.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.telemetry.EventLog;
import org.almondmount.term.TermRow;
import org.almondmount.wire.Message;

/**
 * Requires that each holder soon has heard of every target. It sees the term's row in the
 * store and the leases that targets are granted, nothing inside the processes.
 */
final class TermWatch {

	private static final EventLog LOG = EventLog.of(TermWatch.class);

	private static final long HEARD_MILLIS = 500;

	private static final long LOOK_MILLIS = 10;

	private final FleetWorld world;

	/** The highest epoch in which each target was granted a lease. */
	private final Map<String, Long> granted = new HashMap<>();

	private Optional<String> row = Optional.empty();

	private Optional<TermRow> term = Optional.empty();

	private long epoch;

	/** Since when the term is there, and an entry to hold it. */
	private long since;

	private boolean judged;

	TermWatch(FleetWorld world) {
		this.world = world;
		world.wire().watch(this::taken);
	}

	/** Begins to judge, the term that is there among others. */
	void start() {
		look();
	}

	private void taken(String process, Message message) {
		if (message instanceof Message.LeaseGranted lease) {
			Long before = this.granted.put(process, lease.epoch());
			if (before == null || before < lease.epoch()) {
				LOG.info("seen-first-lease", "at", this.world.time().now(), "target", process, "epoch", lease.epoch());
			}
		}
	}

	private void look() {
		this.world.time().after(LOOK_MILLIS, this::look);
		long now = this.world.time().now();
		Optional<String> row = this.world.store().value(Tables.TERM);
		if (!row.equals(this.row)) {
			this.row = row;
			this.term = row.map(RecordCodec::readTerm);
		}
		Optional<TermRow> term = this.term;
		boolean held = term.isPresent() && !term.get().released()
				&& this.world.entries().stream().anyMatch(FleetWorld.EntryProcess::serves);
		if (!held || term.get().epoch() != this.epoch) {
			this.since = now;
			long current = term.map(TermRow::epoch).orElse(0L);
			if (current != this.epoch) {
				this.judged = false;
				this.epoch = current;
				LOG.info("seen-term", "at", now, "epoch", current, "holder", term.map(TermRow::holder).orElse(""));
			}
			return;
		}
		if (this.judged || now - this.since < HEARD_MILLIS) {
			return;
		}
		this.judged = true;
		for (FleetWorld.TargetProcess target : this.world.targets()) {
			if (this.granted.getOrDefault(target.name(), 0L) < this.epoch) {
				this.world.checker()
					.broken()
					.add(now + " unheard: the holder of epoch " + this.epoch + " has not heard of " + target.name());
			}
		}
	}

}
