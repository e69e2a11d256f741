package org.almondmount.bench.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.almondmount.bench.replay.ReplayObserver;
import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobEvent;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;

/**
 * Independent checker of what must always hold, from events and commands alone:
 * <ul>
 * <li>a worker is never asked to hold a member for which it has no room;</li>
 * <li>a placement names each member once, on workers that are there, as adjacent as the
 * shape asks, under a higher attempt than before and while no older attempt runs;</li>
 * <li>no member is told to start before every member of its attempt said that it is held,
 * or in a zone that the scheduler has been told is out;</li>
 * <li>work that may not be repeated is not placed again after it was told to start;</li>
 * <li>work that can't be preempted never makes the guaranteed shapes impossible to lay
 * out when they could be laid out before it. What other work holds counts as free,
 * because it can be preempted; a customer's own work that can't be preempted uses up
 * guaranteed shapes of its own. Not checked in fleets of over {@value #LARGE_FLEET}
 * workers, where the search takes too long.</li>
 * </ul>
 * Not thread-safe.
 */
public final class SafetyChecker implements ReplayObserver {

	private static final int MOST_KEPT = 50;

	private static final int LARGE_FLEET = 100;

	private final List<String> violations = new ArrayList<>();

	private final Map<WorkerId, WorkerInfo> workers = new HashMap<>();

	private final Map<JobId, JobSpec> specs = new HashMap<>();

	private final Map<JobId, Live> live = new HashMap<>();

	private final Map<JobId, Integer> attempts = new HashMap<>();

	private final Set<JobId> toldToStart = new HashSet<>();

	private final Map<JobId, Live> fixed = new HashMap<>();

	private Configuration configuration = Configuration.EMPTY;

	private int count;

	@Override
	public List<String> violations() {
		return (this.count <= MOST_KEPT) ? this.violations : withCount();
	}

	@Override
	public void event(long now, JobEvent event) {
		if (event instanceof JobEvent.ConfigurationChanged changed) {
			this.configuration = changed.configuration();
		}
		else if (event instanceof JobEvent.WorkerJoined joined) {
			this.workers.put(joined.worker().id(), joined.worker());
		}
		else if (event instanceof JobEvent.WorkerLost lost) {
			this.workers.remove(lost.worker());
			this.live.values().forEach((gang) -> gang.lose(lost.worker()));
		}
		else if (event instanceof JobEvent.JobSubmitted submitted) {
			this.specs.put(submitted.job(), submitted.spec());
		}
		else if (event instanceof JobEvent.MemberPrepared prepared) {
			gang(prepared.attempt(), (gang) -> gang.prepared.add(prepared.member()));
		}
		else if (event instanceof JobEvent.MemberEnded ended) {
			gang(ended.attempt(), (gang) -> gang.gone.add(ended.member()));
		}
		else if (event instanceof JobEvent.MemberRefused refused) {
			gang(refused.attempt(), (gang) -> gang.gone.add(refused.member()));
		}
	}

	@Override
	public void command(long now, JobCommand command) {
		if (command instanceof JobCommand.CommitPlacement commit) {
			committed(now, commit);
		}
		else if (command instanceof JobCommand.Start start) {
			started(now, start);
		}
		else if (command instanceof JobCommand.Requeue requeue) {
			this.fixed.remove(requeue.attempt().job());
		}
		else if (command instanceof JobCommand.Finish finish) {
			this.fixed.remove(finish.job());
		}
	}

	@Override
	public void noRoom(long now, JobCommand.Prepare command) {
		violation(now,
				"no room for member " + command.member() + " of " + command.attempt() + " on " + command.worker());
	}

	private void committed(long now, JobCommand.CommitPlacement commit) {
		Attempt attempt = commit.attempt();
		JobSpec spec = this.specs.get(attempt.job());
		if (spec == null) {
			violation(now, "placed a job that was never submitted: " + attempt);
			return;
		}
		checkMembers(now, commit, spec);
		if (attempt.number() <= this.attempts.getOrDefault(attempt.job(), 0)) {
			violation(now, "attempt number does not grow: " + attempt);
		}
		Live before = this.live.get(attempt.job());
		if (before != null && before.started && !before.allGone()) {
			violation(now, "placed again while the older attempt still runs: " + attempt);
		}
		if (!spec.repeatable() && !spec.savesCheckpoints() && this.toldToStart.contains(attempt.job())) {
			violation(now, "may not be repeated, yet placed again: " + attempt);
		}
		this.attempts.put(attempt.job(), attempt.number());
		Live gang = new Live(attempt, spec, commit.placement());
		this.live.put(attempt.job(), gang);
		if (!spec.repeatable() && !spec.savesCheckpoints() && this.workers.size() <= LARGE_FLEET) {
			checkGuarantees(now, gang);
		}
	}

	private void checkMembers(long now, JobCommand.CommitPlacement commit, JobSpec spec) {
		Set<Integer> numbers = new HashSet<>();
		WorkerInfo first = null;
		for (Assignment assignment : commit.placement()) {
			numbers.add(assignment.member());
			WorkerInfo worker = this.workers.get(assignment.worker());
			if (worker == null) {
				violation(now, "placed on a worker that is not there: " + commit.attempt() + " " + assignment);
				return;
			}
			if (first == null) {
				first = worker;
			}
			if (!GuaranteeLayout.domainOf(spec.shape().adjacency(), first)
				.equals(GuaranteeLayout.domainOf(spec.shape().adjacency(), worker))) {
				violation(now, "members are too far apart: " + commit.attempt());
			}
		}
		int members = spec.shape().members();
		boolean whole = numbers.size() == members && commit.placement().size() == members;
		if (!whole || !numbers.contains(0) || !numbers.contains(members - 1)) {
			violation(now, "placement does not name each member once: " + commit.attempt());
		}
	}

	private void started(long now, JobCommand.Start start) {
		Live gang = this.live.get(start.attempt().job());
		if (gang == null || !gang.attempt.equals(start.attempt())) {
			violation(now, "start of an attempt that is not current: " + start.attempt());
			return;
		}
		gang.started = true;
		this.toldToStart.add(start.attempt().job());
		if (gang.prepared.size() < gang.spec.shape().members()) {
			violation(now, "start before every member is held: " + start.attempt());
		}
		WorkerInfo worker = this.workers.get(start.worker());
		if (worker != null && !this.configuration.zone(worker.zone()).acceptsWork()) {
			violation(now, "start in the zone " + worker.zone() + " which is out: " + start.attempt());
		}
	}

	private void checkGuarantees(long now, Live gang) {
		boolean before = guaranteesFit();
		this.fixed.put(gang.attempt.job(), gang);
		if (before && !guaranteesFit()) {
			violation(now, "work that can't be preempted makes a guaranteed shape impossible: " + gang.attempt);
		}
	}

	private boolean guaranteesFit() {
		List<WorkerInfo> inService = new ArrayList<>();
		for (WorkerInfo worker : this.workers.values()) {
			if (this.configuration.zone(worker.zone()).acceptsWork()) {
				inService.add(worker);
			}
		}
		inService.sort((one, other) -> one.id().compareTo(other.id()));
		Map<WorkerId, Resources> taken = new HashMap<>();
		for (Live gang : this.fixed.values()) {
			for (Assignment assignment : gang.placement) {
				taken.merge(assignment.worker(), gang.spec.shape().perMember(), Resources::plus);
			}
		}
		List<GangShape> open = new ArrayList<>();
		for (Customer customer : this.configuration.customers().values()) {
			open.addAll(openShapes(customer));
		}
		return new GuaranteeLayout(inService).fits(open, taken);
	}

	// The customer's shapes that its own work, which can't be preempted, has not used.
	private List<GangShape> openShapes(Customer customer) {
		List<GangShape> shapes = new ArrayList<>();
		for (GuaranteedShape guaranteed : customer.guarantees()) {
			for (int i = 0; i < guaranteed.gangs(); i++) {
				shapes.add(guaranteed.shape());
			}
		}
		int used = usedByOwner(customer.id());
		shapes.sort((one, other) -> one.total().accelerators() - other.total().accelerators());
		while (used > 0 && !shapes.isEmpty()) {
			used -= shapes.remove(0).total().accelerators();
		}
		return shapes;
	}

	private int usedByOwner(CustomerId customer) {
		int used = 0;
		for (Live gang : this.fixed.values()) {
			if (gang.spec.customer().equals(customer)) {
				used += gang.spec.shape().total().accelerators();
			}
		}
		return used;
	}

	private void gang(Attempt attempt, Consumer<Live> action) {
		Live gang = this.live.get(attempt.job());
		if (gang != null && gang.attempt.equals(attempt)) {
			action.accept(gang);
		}
	}

	private void violation(long now, String what) {
		this.count++;
		if (this.violations.size() < MOST_KEPT) {
			this.violations.add("at " + now + " ms: " + what);
		}
	}

	private List<String> withCount() {
		List<String> all = new ArrayList<>(this.violations);
		while (all.size() < this.count) {
			all.add("a further violation, not kept");
		}
		return all;
	}

	private static final class Live {

		private final Attempt attempt;

		private final JobSpec spec;

		private final List<Assignment> placement;

		private final Set<Integer> prepared = new HashSet<>();

		private final Set<Integer> gone = new HashSet<>();

		private boolean started;

		Live(Attempt attempt, JobSpec spec, List<Assignment> placement) {
			this.attempt = attempt;
			this.spec = spec;
			this.placement = placement;
		}

		void lose(WorkerId worker) {
			for (Assignment assignment : this.placement) {
				if (assignment.worker().equals(worker)) {
					this.gone.add(assignment.member());
				}
			}
		}

		boolean allGone() {
			return this.gone.size() == this.placement.size();
		}

	}

}
