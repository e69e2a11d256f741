package org.almondmount.jobs.impl;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.JobEvent;
import org.almondmount.model.WorkerId;

/**
 * Takes over the jobs of the former lease holder. A placement whose workers announce
 * themselves in time is taken to run on; the others count as lost. Not thread-safe.
 */
final class Recovery {

	private final Desk desk;

	private final Fleet fleet;

	private final JobBook book;

	private final GangRunner runner;

	private final GuaranteeAllocator ledger;

	/** Recovered members whose workers have not announced themselves yet. */
	private final Map<WorkerId, Set<Member>> expected = new HashMap<>();

	Recovery(Desk desk, Fleet fleet, JobBook book, GangRunner runner, GuaranteeAllocator ledger) {
		this.desk = desk;
		this.fleet = fleet;
		this.book = book;
		this.runner = runner;
		this.ledger = ledger;
	}

	void recovered(JobEvent.JobRecovered event) {
		if (this.book.job(event.job()) != null) {
			return;
		}
		JobState job = this.book.add(event.job(), event.spec());
		job.lastAttempt = event.lastAttempt();
		job.checkpoint = event.hasCheckpoint();
		job.say("It was taken over from the former holder of the scheduler's lease.");
		if (event.placement().isEmpty()) {
			this.book.enqueue(job);
			return;
		}
		Gang gang = gang(job, event);
		if (!event.mayHaveRun()) {
			this.runner.giveUp(gang, "the lease changed hands before it was started", false);
			return;
		}
		this.desk.timers.at(this.desk.now + this.desk.policy.timeouts().rejoin().toMillis(), () -> giveUpMissing(gang));
	}

	void joined(WorkerNode worker) {
		Set<Member> members = this.expected.remove(worker.info.id());
		if (members == null) {
			return;
		}
		for (Member member : members) {
			attach(member, worker);
		}
	}

	private Gang gang(JobState job, JobEvent.JobRecovered event) {
		List<Assignment> placement = event.placement();
		Gang gang = new Gang(job, event.lastAttempt(), placement.size());
		gang.firm = !job.isPreemptible();
		gang.stage = Gang.Stage.RUNNING;
		gang.stageSince = this.desk.now;
		gang.runningSince = this.desk.now;
		gang.prepared = placement.size();
		gang.started = placement.size();
		job.current = gang;
		for (int i = 0; i < placement.size(); i++) {
			Member member = new Member(gang, i, placement.get(i).worker());
			gang.members[i] = member;
			member.prepared = true;
			member.startSent = event.mayHaveRun();
			member.started = event.mayHaveRun();
			WorkerNode worker = this.fleet.worker(member.workerId);
			if (worker != null && worker.present) {
				attach(member, worker);
			}
			else {
				this.expected.computeIfAbsent(member.workerId, (id) -> new LinkedHashSet<>()).add(member);
			}
		}
		return gang;
	}

	private void attach(Member member, WorkerNode worker) {
		if (member.ending != null) {
			return;
		}
		member.worker = worker;
		if (member.gang.stage == Gang.Stage.ABANDONED) {
			this.runner.abort(member);
			return;
		}
		this.runner.book(member);
		this.ledger.unplaceExcess(worker);
	}

	private void giveUpMissing(Gang gang) {
		if (!gang.isActive()) {
			return;
		}
		for (Member member : gang.members) {
			if (member.ending == null && member.worker == null) {
				this.runner.giveUp(gang, "worker " + member.workerId + " did not come back", false);
				return;
			}
		}
	}

}
