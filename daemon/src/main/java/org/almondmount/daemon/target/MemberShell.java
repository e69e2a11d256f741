package org.almondmount.daemon.target;

import java.util.List;
import java.util.function.Consumer;

import org.almondmount.gang.HeldMember;
import org.almondmount.gang.MemberCommand;
import org.almondmount.gang.MemberEvent;
import org.almondmount.gang.MemberManager;
import org.almondmount.jobs.Attempt;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.Message;

/**
 * Carries out what the member keeper decides. Owned by the decisions duty.
 */
final class MemberShell {

	private static final EventLog LOG = EventLog.of(MemberShell.class);

	private final MemberManager keeper;

	private final WorkerTasks tasks;

	private final Consumer<Message> toEveryEntry;

	private boolean drained;

	MemberShell(MemberManager keeper, WorkerTasks tasks, Consumer<Message> toEveryEntry) {
		this.keeper = keeper;
		this.tasks = tasks;
		this.toEveryEntry = toEveryEntry;
	}

	boolean drained() {
		return this.drained;
	}

	long epoch() {
		return this.keeper.highestEpoch();
	}

	List<HeldMember> held() {
		return this.keeper.heldMembers();
	}

	void handle(long now, MemberEvent event) {
		for (MemberCommand command : this.keeper.handle(now, event)) {
			carryOut(command);
		}
	}

	private void carryOut(MemberCommand command) {
		if (command instanceof MemberCommand.StartTask start) {
			log("task-start", start.attempt(), start.member());
			this.tasks.start(start);
		}
		else if (command instanceof MemberCommand.RenewTask renew) {
			this.tasks.renew(renew.attempt(), renew.member());
		}
		else if (command instanceof MemberCommand.SuspendTask suspend) {
			log("task-suspend", suspend.attempt(), suspend.member());
			this.tasks.suspend(suspend.attempt(), suspend.member());
		}
		else if (command instanceof MemberCommand.StopTask stop) {
			log("task-stop", stop.attempt(), stop.member());
			this.tasks.stop(stop.attempt(), stop.member());
		}
		else if (command instanceof MemberCommand.ThrottleTask throttle) {
			log("task-throttle", throttle.attempt(), throttle.member());
			this.tasks.throttle(throttle.attempt(), throttle.member());
		}
		else if (command instanceof MemberCommand.Drained) {
			this.drained = true;
		}
		else {
			report(command);
		}
	}

	private void report(MemberCommand command) {
		if (command instanceof MemberCommand.ReportPrepared prepared) {
			report(prepared.attempt(), prepared.member(), Message.Report.PREPARED, "");
		}
		else if (command instanceof MemberCommand.ReportRefused refused) {
			LOG.info("member-refused", "job", refused.attempt().job(), "attempt", refused.attempt().number(), "member",
					refused.member(), "why", refused.reason());
			report(refused.attempt(), refused.member(), Message.Report.REFUSED, refused.reason());
		}
		else if (command instanceof MemberCommand.ReportStarted started) {
			report(started.attempt(), started.member(), Message.Report.STARTED, "");
		}
		else if (command instanceof MemberCommand.ReportCheckpointed checkpointed) {
			report(checkpointed.attempt(), checkpointed.member(), Message.Report.CHECKPOINTED, "");
		}
		else if (command instanceof MemberCommand.ReportEnded ended) {
			this.toEveryEntry.accept(new Message.MemberEnded(ended.attempt(), ended.member(), ended.outcome()));
		}
		else if (command instanceof MemberCommand.ReportUsage usage) {
			this.toEveryEntry.accept(new Message.MemberUsage(usage.attempt(), usage.member(), usage.used()));
		}
	}

	private void report(Attempt attempt, int member, Message.Report report, String why) {
		this.toEveryEntry.accept(new Message.MemberReport(attempt, member, report, why));
	}

	private static void log(String event, Attempt attempt, int member) {
		LOG.info(event, "job", attempt.job(), "attempt", attempt.number(), "member", member);
	}

}
