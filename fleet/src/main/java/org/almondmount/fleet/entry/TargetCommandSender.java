package org.almondmount.fleet.entry;

import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkflowCommand;

/**
 * Sends the commands of the holder to targets and reports undelivered ones. Confined to
 * the event loop thread.
 */
final class TargetCommandSender {

	private static final EventLog LOG = EventLog.named("TargetOrders");

	/** Commands that were not sent to their target, by reason. */
	private static final String UNDELIVERED_METRIC = "orders.undelivered";

	private final TermDriver term;

	private final TargetLinks targets;

	private final Telemetry telemetry;

	TargetCommandSender(TermDriver term, TargetLinks targets, Telemetry telemetry) {
		this.term = term;
		this.targets = targets;
		this.telemetry = telemetry;
		telemetry.declare(UNDELIVERED_METRIC, UndeliveredReason.class);
	}

	void sendStart(WorkflowCommand.StartRun start) {
		send("start", start.target(), start.task(), start.run(),
				(epoch, heartbeat) -> new Message.RunStart(epoch, heartbeat, start.incarnation(), start.task(),
						start.run(), start.program(), start.checkpoint(), start.capacity()));
	}

	void sendStop(WorkflowCommand.StopRun stop) {
		send("stop", stop.target(), stop.task(), stop.run(),
				(epoch, heartbeat) -> new Message.RunStop(epoch, stop.incarnation(), stop.task(), stop.run()));
	}

	// Not repeated: a worker lists an end until its record is acknowledged. A recorded
	// end remains recorded, whether or not the term is renewed in time.
	void sendEndsAcknowledgement(WorkflowCommand.AcknowledgeEnds ends) {
		if (this.term.epoch() == 0) {
			return;
		}
		long epoch = this.term.epoch();
		if (!this.targets.send(ends.target(),
				(heartbeat) -> new Message.EndsRecorded(epoch, ends.incarnation(), ends.upToSequence()))) {
			this.telemetry.count(UNDELIVERED_METRIC, UndeliveredReason.TARGET_NOT_CONNECTED);
		}
	}

	private void send(String kind, String target, TaskId task, int run, MessageFactory message) {
		if (!this.term.mayDecide()) {
			recordUndelivered(kind, target, task, run, UndeliveredReason.TERM_OVER);
			return;
		}
		long epoch = this.term.epoch();
		this.telemetry.count("orders." + kind);
		if (!this.targets.send(target, (heartbeat) -> message.create(epoch, heartbeat))) {
			recordUndelivered(kind, target, task, run, UndeliveredReason.TARGET_NOT_CONNECTED);
		}
	}

	private void recordUndelivered(String kind, String target, TaskId task, int run, UndeliveredReason reason) {
		this.telemetry.count(UNDELIVERED_METRIC, reason);
		LOG.info("order-undelivered", "order", kind, "task", task, "run", run, "target", target, "epoch",
				this.term.epoch(), "why", reason);
	}

	/**
	 * Creates the message of a command.
	 */
	private interface MessageFactory {

		Message create(long epoch, long heartbeat);

	}

}
