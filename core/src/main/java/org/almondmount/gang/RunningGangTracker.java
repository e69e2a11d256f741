package org.almondmount.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.jobs.Attempt;
import org.almondmount.model.WorkerId;

/**
 * Determines which attempts are fully running, by the heartbeats that one entry receives.
 * Deterministic; not thread-safe.
 * <p>
 * An attempt is fully running while every one of its members was reported running by a
 * heartbeat that is still valid. A held member does not count. Otherwise a gang whose
 * start order reached only half of its members would keep that half running alone for as
 * long as the other half is prepared again and again. Members that run have the gang
 * timeout from their own start, which leaves the others enough time to start.
 */
public final class RunningGangTracker {

	private final long heartbeatValidityMillis;

	private final Map<Attempt, Gang> gangs = new HashMap<>();

	private final Map<WorkerId, List<HeldMember>> membersByWorker = new HashMap<>();

	/**
	 * Creates a tracker without heartbeats.
	 * @param heartbeatValidityMillis how long the content of a heartbeat is valid, in
	 * milliseconds
	 */
	public RunningGangTracker(long heartbeatValidityMillis) {
		this.heartbeatValidityMillis = heartbeatValidityMillis;
	}

	/**
	 * Records the content of a worker's heartbeat, which replaces that of the previous
	 * one.
	 * @param nowMillis the time
	 * @param worker the worker
	 * @param members all members that it holds or runs
	 */
	public void recordHeartbeat(long nowMillis, WorkerId worker, List<HeldMember> members) {
		removeMembers(worker);
		this.membersByWorker.put(worker, List.copyOf(members));
		for (HeldMember member : members) {
			if (member.running()) {
				Gang gang = this.gangs.computeIfAbsent(member.attempt(), (id) -> new Gang());
				gang.memberCount = member.members();
				gang.runningMembers.put(member.member(), new MemberHeartbeat(worker, nowMillis));
			}
		}
	}

	/**
	 * Removes a worker to which the connection was lost.
	 * @param worker the worker
	 */
	public void removeWorker(WorkerId worker) {
		removeMembers(worker);
	}

	/**
	 * Returns whether every member of the attempt was reported running by a valid
	 * heartbeat.
	 * @param nowMillis the time
	 * @param attempt the attempt
	 * @return true if it is fully running
	 */
	public boolean isFullyRunning(long nowMillis, Attempt attempt) {
		Gang gang = this.gangs.get(attempt);
		return gang != null && gang.isFullyRunning(nowMillis, this.heartbeatValidityMillis);
	}

	/**
	 * Returns the fully running attempts in which a worker takes part, for the reply to
	 * its heartbeat.
	 * @param nowMillis the time
	 * @param worker the worker
	 * @return the attempts, each once
	 */
	public List<Attempt> fullyRunningAttempts(long nowMillis, WorkerId worker) {
		List<Attempt> attempts = new ArrayList<>();
		for (HeldMember member : this.membersByWorker.getOrDefault(worker, List.of())) {
			if (!attempts.contains(member.attempt()) && isFullyRunning(nowMillis, member.attempt())) {
				attempts.add(member.attempt());
			}
		}
		return attempts;
	}

	private void removeMembers(WorkerId worker) {
		List<HeldMember> members = this.membersByWorker.remove(worker);
		if (members == null) {
			return;
		}
		for (HeldMember member : members) {
			Gang gang = this.gangs.get(member.attempt());
			if (gang == null) {
				continue;
			}
			gang.remove(member.member(), worker);
			if (gang.runningMembers.isEmpty()) {
				this.gangs.remove(member.attempt());
			}
		}
	}

	private record MemberHeartbeat(WorkerId worker, long receivedAtMillis) {
	}

	private static final class Gang {

		private final Map<Integer, MemberHeartbeat> runningMembers = new HashMap<>();

		private int memberCount;

		private void remove(int member, WorkerId worker) {
			MemberHeartbeat heartbeat = this.runningMembers.get(member);
			if (heartbeat != null && heartbeat.worker().equals(worker)) {
				this.runningMembers.remove(member);
			}
		}

		private boolean isFullyRunning(long nowMillis, long validityMillis) {
			if (this.runningMembers.size() < this.memberCount) {
				return false;
			}
			for (MemberHeartbeat heartbeat : this.runningMembers.values()) {
				if (nowMillis - heartbeat.receivedAtMillis() > validityMillis) {
					return false;
				}
			}
			return true;
		}

	}

}
