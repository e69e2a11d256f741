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
 * Requires that each holder is in contact with every target soon after its term begins.
 * It reads the row of the term in the store and the leases that are granted to targets,
 * not the internals of the processes.
 */
final class TermMonitor {

	private static final EventLog LOG = EventLog.named("TermWatch");

	private static final long MAX_CONTACT_MILLIS = 500;

	private static final long CHECK_INTERVAL_MILLIS = 10;

	private final FleetSimulation simulation;

	/** The highest epoch in which each target was granted a lease. */
	private final Map<String, Long> grantedEpochs = new HashMap<>();

	private Optional<String> termRow = Optional.empty();

	private Optional<TermRow> term = Optional.empty();

	private long epoch;

	/** The time since which the term has been held and an entry has been in service. */
	private long heldSince;

	private boolean checked;

	TermMonitor(FleetSimulation simulation) {
		this.simulation = simulation;
		simulation.wire().observeMessages(this::onMessage);
	}

	/** Starts to check terms, including the current one. */
	void start() {
		check();
	}

	private void onMessage(String process, Message message) {
		if (message instanceof Message.LeaseGranted lease) {
			Long before = this.grantedEpochs.put(process, lease.epoch());
			if (before == null || before < lease.epoch()) {
				LOG.info("seen-first-lease", "at", this.simulation.clock().now(), "target", process, "epoch",
						lease.epoch());
			}
		}
	}

	private void check() {
		this.simulation.clock().scheduleAfter(CHECK_INTERVAL_MILLIS, this::check);
		long now = this.simulation.clock().now();
		Optional<String> row = this.simulation.store().value(Tables.TERM);
		if (!row.equals(this.termRow)) {
			this.termRow = row;
			this.term = row.map(RecordCodec::readTerm);
		}
		Optional<TermRow> term = this.term;
		boolean held = term.isPresent() && !term.get().released()
				&& this.simulation.entries().stream().anyMatch(FleetSimulation.EntryProcess::isServing);
		if (!held || term.get().epoch() != this.epoch) {
			this.heldSince = now;
			long current = term.map(TermRow::epoch).orElse(0L);
			if (current != this.epoch) {
				this.checked = false;
				this.epoch = current;
				LOG.info("seen-term", "at", now, "epoch", current, "holder", term.map(TermRow::holder).orElse(""));
			}
			return;
		}
		if (this.checked || now - this.heldSince < MAX_CONTACT_MILLIS) {
			return;
		}
		this.checked = true;
		for (FleetSimulation.TargetProcess target : this.simulation.targets()) {
			if (this.grantedEpochs.getOrDefault(target.name(), 0L) < this.epoch) {
				this.simulation.checker()
					.violations()
					.add(now + " contact: the holder of epoch " + this.epoch + " has had no contact with "
							+ target.name());
			}
		}
	}

}
