package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobView;
import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs random sequences of events of jobs, zones and workers against guarantees of two
 * customers and checks the invariants after every event.
 */
class RandomHistoryTests {

	private static final List<GangShape> SHAPES = List.of(VirtualFleet.gang(1, 1, Adjacency.ANY),
			VirtualFleet.gang(1, 2, Adjacency.ANY), VirtualFleet.gang(4, 1, Adjacency.WORKER),
			VirtualFleet.gang(8, 1, Adjacency.RACK), VirtualFleet.gang(2, 8, Adjacency.RACK),
			VirtualFleet.gang(5, 4, Adjacency.ZONE), VirtualFleet.gang(12, 2, Adjacency.ANY),
			VirtualFleet.gang(1, 8, Adjacency.WORKER));

	private static final int STEPS = 150;

	private VirtualFleet fleet;

	private Random random;

	private List<JobId> jobs;

	private List<WorkerInfo> lostWorkers;

	@Property(tries = 80, seed = "4711", shrinking = ShrinkingMode.OFF)
	void guaranteesHoldGangsStayCompleteAndEveryJobEnds(@ForAll long seed) {
		setUpFleet(seed);
		for (int step = 0; step < STEPS; step++) {
			applyRandomAction(step);
			this.fleet.runFor(this.random.nextInt(800));
		}
		restoreFleet();
		for (int i = 0; i < 200 && this.fleet.endings.size() < countAcceptedJobs(); i++) {
			this.fleet.runFor(60_000);
		}
		assertThat(describeUnfinishedJobs()).isEmpty();
		assertThat(this.fleet.tasks).isEmpty();
		new ReclaimChecker(this.fleet).assertEveryGuaranteeIsPlaced();
	}

	private void setUpFleet(long seed) {
		this.random = new Random(seed);
		this.jobs = new ArrayList<>();
		this.lostWorkers = new ArrayList<>();
		this.fleet = VirtualFleet.of(3, 2, 3);
		this.fleet.putCustomer("c0", 2, new GuaranteedShape(1, SHAPES.get(4)));
		this.fleet.putCustomer("c1", 1, new GuaranteedShape(2, SHAPES.get(7)), new GuaranteedShape(1, SHAPES.get(3)));
		ReclaimChecker checker = new ReclaimChecker(this.fleet);
		this.fleet.afterEvent = (fleet) -> checker.check();
	}

	private void applyRandomAction(int step) {
		int kind = this.random.nextInt(20);
		switch (kind) {
			case 0 -> loseWorker();
			case 1, 2 -> rejoinWorker();
			case 3 -> this.fleet.setZoneState("z" + this.random.nextInt(3), ZoneState.OUT);
			case 4, 5 -> this.fleet.setZoneState("z" + this.random.nextInt(3), ZoneState.IN);
			case 6 -> cancelRandomJob();
			case 7 -> this.fleet.feed(new JobEvent.StartsAllowed(this.random.nextInt(3) > 0));
			case 8 -> drainAndLoseWorker();
			case 9 -> this.fleet.failingWorkers.add(new WorkerId("w0-0-" + this.random.nextInt(3)));
			case 10 -> this.fleet.failingWorkers.clear();
			default -> submitRandomJob("j" + step);
		}
	}

	private void submitRandomJob(String name) {
		JobSpec spec = VirtualFleet.spec("c" + this.random.nextInt(4), SHAPES.get(this.random.nextInt(SHAPES.size())));
		int kind = this.random.nextInt(6);
		if (kind == 0) {
			spec = VirtualFleet.nonRepeatable(spec);
		}
		else if (kind == 1) {
			spec = VirtualFleet.urgent(spec);
		}
		JobId job = new JobId(name);
		if (this.random.nextInt(10) == 0) {
			this.fleet.jobsIgnoringSuspend.add(job);
		}
		if (this.random.nextInt(20) == 0) {
			this.fleet.failingJobs.add(job);
		}
		this.jobs.add(job);
		this.fleet.submit(name, spec, 500 + this.random.nextInt(30_000));
	}

	private void cancelRandomJob() {
		if (!this.jobs.isEmpty()) {
			this.fleet.feed(new JobEvent.JobCancelled(this.jobs.get(this.random.nextInt(this.jobs.size()))));
		}
	}

	private void loseWorker() {
		WorkerInfo info = anyWorker();
		if (info != null && this.lostWorkers.size() < 4) {
			this.lostWorkers.add(info);
			this.fleet.loseWorker(info.id());
		}
	}

	private void rejoinWorker() {
		if (!this.lostWorkers.isEmpty()) {
			this.fleet.rejoinWorker(this.lostWorkers.remove(0));
		}
	}

	private void drainAndLoseWorker() {
		WorkerInfo info = anyWorker();
		if (info != null && this.lostWorkers.size() < 4) {
			WorkerId id = info.id();
			this.fleet.feed(new JobEvent.WorkerLeaving(id));
			this.fleet.runFor(this.random.nextInt(2_000));
			this.lostWorkers.add(info);
			this.fleet.loseWorker(id);
		}
	}

	private WorkerInfo anyWorker() {
		List<WorkerInfo> workers = this.fleet.scheduler.workers()
			.stream()
			.map((view) -> view.worker())
			.filter((worker) -> !this.fleet.lostWorkers.contains(worker.id()))
			.toList();
		return workers.isEmpty() ? null : workers.get(this.random.nextInt(workers.size()));
	}

	private void restoreFleet() {
		this.fleet.failingWorkers.clear();
		while (!this.lostWorkers.isEmpty()) {
			rejoinWorker();
		}
		for (int zone = 0; zone < 3; zone++) {
			this.fleet.setZoneState("z" + zone, ZoneState.IN);
		}
		this.fleet.feed(new JobEvent.StartsAllowed(true));
	}

	private int countAcceptedJobs() {
		return this.jobs.size() - this.fleet.refusals.size();
	}

	private List<String> describeUnfinishedJobs() {
		List<String> unfinished = new ArrayList<>();
		for (JobView view : this.fleet.scheduler.jobs()) {
			if (view.phase() != JobView.Phase.ENDED) {
				unfinished.add(view.job() + " " + view.phase() + " attempt " + view.attempt() + " " + view.explanation()
						+ " " + view.spec().shape());
			}
		}
		return unfinished;
	}

}
