package org.almondmount.bench.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;

/**
 * The workers, the object store and the table's answers to placements, as far as a
 * scheduler can notice them. Messages to one worker keep their order. Not thread-safe.
 */
final class WorkerSide {

	private static final long USAGE_LAG = 20_000;

	private final Map<WorkerId, VirtualWorker> workers = new HashMap<>();

	private final Map<Attempt, GangRun> gangs = new HashMap<>();

	private final Agenda agenda;

	private final Delays delays;

	private final Consumer<JobEvent> scheduler;

	private final ReplayObserver observer;

	WorkerSide(List<WorkerInfo> fleet, Agenda agenda, Delays delays, Consumer<JobEvent> scheduler,
			ReplayObserver observer) {
		fleet.forEach((info) -> this.workers.put(info.id(), new VirtualWorker(info)));
		this.agenda = agenda;
		this.delays = delays;
		this.scheduler = scheduler;
		this.observer = observer;
	}

	void commit(JobProgress job, JobCommand.CommitPlacement commit) {
		List<WorkerId> placement = commit.placement().stream().map(Assignment::worker).toList();
		AttemptRecord record = new AttemptRecord(commit.attempt().number(), this.agenda.now(), placement);
		job.record().attempts().add(record);
		GangRun gang = new GangRun(job, commit.attempt(), record);
		for (int i = 0; i < placement.size(); i++) {
			gang.members()[i] = new MemberRun(gang, i, this.workers.get(placement.get(i)));
		}
		this.gangs.put(commit.attempt(), gang);
		if (this.delays.rejected()) {
			this.agenda.after(this.delays.commit(), () -> reject(gang));
			return;
		}
		report(this.delays.commit(), new JobEvent.PlacementCommitted(commit.attempt()));
	}

	// The scheduler gave the attempt up: its job may wait again.
	void over(Attempt attempt) {
		GangRun gang = this.gangs.get(attempt);
		if (gang != null) {
			gang.record().over(this.agenda.now());
		}
	}

	void carryOut(JobCommand command) {
		if (command instanceof JobCommand.Prepare prepare) {
			deliver(prepare.attempt(), prepare.member(), (member) -> prepare(member, prepare));
		}
		else if (command instanceof JobCommand.Start start) {
			deliver(start.attempt(), start.member(), this::start);
		}
		else if (command instanceof JobCommand.Abort abort) {
			deliver(abort.attempt(), abort.member(), this::stop);
		}
		else if (command instanceof JobCommand.Stop stop) {
			deliver(stop.attempt(), stop.member(), this::stop);
		}
		else if (command instanceof JobCommand.Suspend suspend) {
			deliver(suspend.attempt(), suspend.member(), this::suspend);
		}
	}

	void bad(WorkerId id, boolean state) {
		this.workers.get(id).bad(state);
	}

	void lose(WorkerId id) {
		VirtualWorker worker = this.workers.get(id);
		for (MemberRun member : worker.die()) {
			member.gang().stop(this.agenda.now());
			member.release(this.agenda.now());
		}
		report(Delays.HEARTBEAT_TIMEOUT, new JobEvent.WorkerLost(id));
	}

	void comeBack(WorkerId id) {
		VirtualWorker worker = this.workers.get(id);
		worker.comeBack();
		this.scheduler.accept(new JobEvent.WorkerJoined(worker.info()));
	}

	private void reject(GangRun gang) {
		gang.record().over(this.agenda.now());
		this.scheduler.accept(new JobEvent.PlacementRejected(gang.attempt()));
	}

	private void deliver(Attempt attempt, int number, Consumer<MemberRun> action) {
		GangRun gang = this.gangs.get(attempt);
		if (gang == null) {
			return;
		}
		MemberRun member = gang.members()[number];
		VirtualWorker worker = member.worker();
		int incarnation = worker.incarnation();
		long at = worker.deliveryAt(this.agenda.now() + this.delays.message());
		this.agenda.at(at, () -> {
			if (worker.up() && worker.incarnation() == incarnation) {
				action.accept(member);
			}
		});
	}

	private void prepare(MemberRun member, JobCommand.Prepare command) {
		if (member.state() != MemberRun.State.AWAY) {
			return;
		}
		GangRun gang = member.gang();
		if (!member.worker().hasRoom(gang.perMember())) {
			this.observer.noRoom(this.agenda.now(), command);
			member.state(MemberRun.State.GONE);
			report(member, new JobEvent.MemberRefused(gang.attempt(), member.number(), "no room"));
			return;
		}
		gang.fromCheckpoint(command.fromCheckpoint());
		member.hold(this.agenda.now());
		report(member, new JobEvent.MemberPrepared(gang.attempt(), member.number()));
	}

	private void start(MemberRun member) {
		if (member.state() != MemberRun.State.HELD) {
			return;
		}
		member.state(MemberRun.State.STARTING);
		this.agenda.after(this.delays.start(), () -> started(member));
	}

	private void started(MemberRun member) {
		if (member.state() != MemberRun.State.STARTING) {
			return;
		}
		member.state(MemberRun.State.RUNNING);
		GangRun gang = member.gang();
		report(member, new JobEvent.MemberStarted(gang.attempt(), member.number()));
		if (member.worker().bad()) {
			this.agenda.after(this.delays.failure(), () -> failOnBadWorker(member));
		}
		if (gang.memberRuns()) {
			whole(gang);
		}
	}

	private void whole(GangRun gang) {
		long restore = gang.fromCheckpoint() ? this.delays.restore() : 0;
		gang.whole(this.agenda.now(), restore);
		this.agenda.after(restore + gang.remaining(), () -> finish(gang));
		long every = gang.job().planned().spec().checkpointEvery().toMillis();
		if (every > 0) {
			this.agenda.after(restore + every, () -> checkpointWhileRunning(gang, every));
		}
		this.agenda.after(USAGE_LAG, () -> usage(gang));
	}

	private void usage(GangRun gang) {
		if (!gang.works()) {
			return;
		}
		double factor = this.delays.usageFactor();
		Resources declared = gang.perMember();
		Resources used = new Resources(declared.accelerators(), (int) (declared.cores() * factor),
				(int) (declared.memoryMb() * factor));
		for (MemberRun member : gang.members()) {
			this.scheduler.accept(new JobEvent.MemberUsage(gang.attempt(), member.number(), used));
		}
	}

	private void checkpointWhileRunning(GangRun gang, long every) {
		if (!gang.works()) {
			return;
		}
		gang.save(this.agenda.now());
		for (MemberRun member : gang.members()) {
			report(member, new JobEvent.MemberCheckpointed(gang.attempt(), member.number()));
		}
		this.agenda.after(every, () -> checkpointWhileRunning(gang, every));
	}

	private void finish(GangRun gang) {
		if (!gang.works()) {
			return;
		}
		gang.finish(this.agenda.now());
		for (MemberRun member : gang.members()) {
			end(member, gang.job().planned().ending());
		}
	}

	private void failOnBadWorker(MemberRun member) {
		if (member.state() == MemberRun.State.RUNNING) {
			member.gang().stop(this.agenda.now());
			end(member, JobOutcome.WORKER_FAILED);
		}
	}

	private void stop(MemberRun member) {
		if (releasedUnstarted(member)) {
			return;
		}
		member.gang().stop(this.agenda.now());
		member.state(MemberRun.State.LEAVING);
		this.agenda.after(this.delays.stop(), () -> endIfLeaving(member, JobOutcome.STOPPED));
	}

	private void suspend(MemberRun member) {
		if (releasedUnstarted(member)) {
			return;
		}
		GangRun gang = member.gang();
		if (!gang.job().planned().spec().savesCheckpoints()) {
			stop(member);
			return;
		}
		gang.stop(this.agenda.now());
		member.state(MemberRun.State.LEAVING);
		this.agenda.after(this.delays.checkpoint(), () -> suspended(member));
	}

	private void suspended(MemberRun member) {
		if (member.state() == MemberRun.State.LEAVING) {
			GangRun gang = member.gang();
			gang.memberCheckpointed();
			report(member, new JobEvent.MemberCheckpointed(gang.attempt(), member.number()));
			end(member, JobOutcome.SUSPENDED);
		}
	}

	private boolean releasedUnstarted(MemberRun member) {
		return switch (member.state()) {
			case AWAY -> {
				member.state(MemberRun.State.GONE);
				report(member, new JobEvent.MemberEnded(member.gang().attempt(), member.number(), JobOutcome.STOPPED));
				yield true;
			}
			case HELD -> {
				end(member, JobOutcome.STOPPED);
				yield true;
			}
			case LEAVING, GONE -> true;
			case STARTING, RUNNING -> false;
		};
	}

	private void endIfLeaving(MemberRun member, JobOutcome ending) {
		if (member.state() == MemberRun.State.LEAVING) {
			end(member, ending);
		}
	}

	private void end(MemberRun member, JobOutcome ending) {
		member.release(this.agenda.now());
		report(member, new JobEvent.MemberEnded(member.gang().attempt(), member.number(), ending));
	}

	// Reports of one worker keep their order too.
	private void report(MemberRun member, JobEvent event) {
		this.agenda.at(member.worker().reportAt(this.agenda.now() + this.delays.message()),
				() -> this.scheduler.accept(event));
	}

	private void report(long delay, JobEvent event) {
		this.agenda.after(delay, () -> this.scheduler.accept(event));
	}

}
