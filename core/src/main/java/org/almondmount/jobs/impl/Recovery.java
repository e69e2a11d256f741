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
 * Takes over the jobs of the previous lease holder. A placement is assumed to keep
 * running if its workers register in time; otherwise it counts as lost. Not thread-safe.
 */
final class Recovery {

	private final SchedulerContext context;

	private final Fleet fleet;

	private final JobRegistry registry;

	private final GangRunner gangRunner;

	private final GuaranteeAllocator guaranteeAllocator;

	/** Recovered members whose workers have not registered yet. */
	private final Map<WorkerId, Set<Member>> unattachedMembers = new HashMap<>();

	Recovery(SchedulerContext context, Fleet fleet, JobRegistry registry, GangRunner gangRunner,
			GuaranteeAllocator guaranteeAllocator) {
		this.context = context;
		this.fleet = fleet;
		this.registry = registry;
		this.gangRunner = gangRunner;
		this.guaranteeAllocator = guaranteeAllocator;
	}

	void onJobRecovered(JobEvent.JobRecovered event) {
		if (this.registry.job(event.job()) != null) {
			return;
		}
		JobState job = this.registry.add(event.job(), event.spec());
		job.lastAttempt = event.lastAttempt();
		job.hasCheckpoint = event.hasCheckpoint();
		job.addExplanation("The job was taken over from the previous holder of the scheduler lease.");
		if (event.placement().isEmpty()) {
			this.registry.enqueue(job);
			return;
		}
		Gang gang = restoreGang(job, event);
		if (!event.mayHaveRun()) {
			this.gangRunner.abandonAndRequeue(gang, "the lease holder changed before the attempt was started", false);
			return;
		}
		this.context.timers.schedule(this.context.now + this.context.policy.timeouts().rejoin().toMillis(),
				() -> abandonIfWorkerMissing(gang));
	}

	void onWorkerJoined(WorkerNode worker) {
		Set<Member> members = this.unattachedMembers.remove(worker.info.id());
		if (members == null) {
			return;
		}
		for (Member member : members) {
			attach(member, worker);
		}
	}

	private Gang restoreGang(JobState job, JobEvent.JobRecovered event) {
		List<Assignment> placement = event.placement();
		Gang gang = new Gang(job, event.lastAttempt(), placement.size());
		gang.preemptionProtected = !job.isPreemptible();
		gang.stage = Gang.Stage.RUNNING;
		gang.stageSince = this.context.now;
		gang.runningSince = this.context.now;
		gang.preparedCount = placement.size();
		gang.startedCount = placement.size();
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
				this.unattachedMembers.computeIfAbsent(member.workerId, (id) -> new LinkedHashSet<>()).add(member);
			}
		}
		return gang;
	}

	private void attach(Member member, WorkerNode worker) {
		if (member.outcome != null) {
			return;
		}
		member.worker = worker;
		if (member.gang.stage == Gang.Stage.ABANDONED) {
			this.gangRunner.abort(member);
			return;
		}
		this.gangRunner.allocate(member);
		this.guaranteeAllocator.unplaceExcess(worker);
	}

	private void abandonIfWorkerMissing(Gang gang) {
		if (!gang.isActive()) {
			return;
		}
		for (Member member : gang.members) {
			if (member.outcome == null && member.worker == null) {
				this.gangRunner.abandonAndRequeue(gang, "worker " + member.workerId + " did not register again in time",
						false);
				return;
			}
		}
	}

}
