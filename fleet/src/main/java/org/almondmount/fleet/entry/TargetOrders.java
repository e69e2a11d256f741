package org.almondmount.fleet.entry;

import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkflowCommand;

/**
 * Sends the holder's orders to targets, and says which of them did not leave. Belongs to
 * the loop's thread.
 */
final class TargetOrders {

	private static final EventLog LOG = EventLog.of(TargetOrders.class);

	/** Orders that did not leave for their target, by reason. */
	private static final String UNDELIVERED = "orders.undelivered";

	private final TermDriver term;

	private final TargetLinks targets;

	private final Telemetry telemetry;

	TargetOrders(TermDriver term, TargetLinks targets, Telemetry telemetry) {
		this.term = term;
		this.targets = targets;
		this.telemetry = telemetry;
		telemetry.declare(UNDELIVERED, UndeliveredReason.class);
	}

	void start(WorkflowCommand.StartRun start) {
		order("start", start.target(), start.task(), start.run(),
				(epoch, heartbeat) -> new Message.RunStart(epoch, heartbeat, start.incarnation(), start.task(),
						start.run(), start.program(), start.checkpoint(), start.capacity()));
	}

	void stop(WorkflowCommand.StopRun stop) {
		order("stop", stop.target(), stop.task(), stop.run(),
				(epoch, heartbeat) -> new Message.RunStop(epoch, stop.incarnation(), stop.task(), stop.run()));
	}

	// Not repeated: a worker lists an end until it hears that it is kept. What is kept
	// stays so, whether the term is renewed in time or not.
	void acknowledge(WorkflowCommand.AcknowledgeEnds ends) {
		if (this.term.epoch() == 0) {
			return;
		}
		long epoch = this.term.epoch();
		if (!this.targets.send(ends.target(),
				(heartbeat) -> new Message.EndsRecorded(epoch, ends.incarnation(), ends.upToSequence()))) {
			this.telemetry.count(UNDELIVERED, UndeliveredReason.TARGET_NOT_CONNECTED);
		}
	}

	private void order(String kind, String target, TaskId task, int run, OrderMessage message) {
		if (!this.term.mayDecide()) {
			undelivered(kind, target, task, run, UndeliveredReason.TERM_OVER);
			return;
		}
		long epoch = this.term.epoch();
		this.telemetry.count("orders." + kind);
		if (!this.targets.send(target, (heartbeat) -> message.of(epoch, heartbeat))) {
			undelivered(kind, target, task, run, UndeliveredReason.TARGET_NOT_CONNECTED);
		}
	}

	private void undelivered(String kind, String target, TaskId task, int run, UndeliveredReason why) {
		this.telemetry.count(UNDELIVERED, why);
		LOG.info("order-undelivered", "order", kind, "task", task, "run", run, "target", target, "epoch",
				this.term.epoch(), "why", why);
	}

	/**
	 * Makes the message of an order.
	 */
	private interface OrderMessage {

		Message of(long epoch, long heartbeat);

	}

}
