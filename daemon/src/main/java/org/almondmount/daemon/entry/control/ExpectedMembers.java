package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.model.WorkerId;

/**
 * The members that workers should be holding or running, to notice those that are gone
 * without a word. Not thread-safe.
 * <p>
 * A report that a task is over can be lost together with the process that would repeat
 * it, and a holder that took over does not know what its predecessor had sent. The job
 * would count as running for good. A heartbeat names everything that its worker has, so a
 * member that several heartbeats in a row do not name is not there.
 */
final class ExpectedMembers {

	private static final int MOST_MISSES = 6;

	private final Map<WorkerId, Map<Member, Integer>> misses = new HashMap<>();

	private final Map<Attempt, Map<Integer, WorkerId>> workers = new HashMap<>();

	void expect(WorkerId worker, Attempt attempt, int member) {
		this.misses.computeIfAbsent(worker, (id) -> new HashMap<>()).putIfAbsent(new Member(attempt, member), 0);
		this.workers.computeIfAbsent(attempt, (id) -> new HashMap<>()).put(member, worker);
	}

	void over(Attempt attempt, int member) {
		Map<Integer, WorkerId> members = this.workers.get(attempt);
		WorkerId worker = (members != null) ? members.remove(member) : null;
		if (worker == null) {
			return;
		}
		this.misses.get(worker).remove(new Member(attempt, member));
		if (members.isEmpty()) {
			this.workers.remove(attempt);
		}
	}

	void over(Attempt attempt) {
		Map<Integer, WorkerId> members = this.workers.remove(attempt);
		if (members != null) {
			members.forEach((member, worker) -> this.misses.get(worker).remove(new Member(attempt, member)));
		}
	}

	/**
	 * Takes a heartbeat.
	 * @param worker the worker
	 * @param members all that it holds and runs
	 * @return the members that are gone; each is told once
	 */
	List<Member> heard(WorkerId worker, List<HeldMember> members) {
		Map<Member, Integer> expected = this.misses.get(worker);
		if (expected == null || expected.isEmpty()) {
			return List.of();
		}
		Set<Member> named = new HashSet<>();
		members.forEach((each) -> named.add(new Member(each.attempt(), each.member())));
		List<Member> gone = new ArrayList<>();
		for (Map.Entry<Member, Integer> each : expected.entrySet()) {
			each.setValue(named.contains(each.getKey()) ? 0 : each.getValue() + 1);
			if (each.getValue() >= MOST_MISSES) {
				gone.add(each.getKey());
			}
		}
		gone.forEach((each) -> over(each.attempt(), each.member()));
		return gone;
	}

	/**
	 * A member of an attempt.
	 *
	 * @param attempt the attempt
	 * @param member the member's number
	 */
	record Member(Attempt attempt, int member) {
	}

}
