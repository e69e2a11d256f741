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
 * Random histories of jobs, customers, zones and workers, checked after every event.
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

	private List<WorkerInfo> gone;

	@Property(tries = 80, seed = "4711", shrinking = ShrinkingMode.OFF)
	void guaranteesHoldGangsStayWholeAndEveryJobEnds(@ForAll long seed) {
		begin(seed);
		for (int step = 0; step < STEPS; step++) {
			act(step);
			this.fleet.runFor(this.random.nextInt(800));
		}
		heal();
		for (int i = 0; i < 200 && this.fleet.endings.size() < accepted(); i++) {
			this.fleet.runFor(60_000);
		}
		assertThat(unfinished()).isEmpty();
		assertThat(this.fleet.tasks).isEmpty();
		new ReclaimChecker(this.fleet).everyGuaranteeHasASpot();
	}

	private void begin(long seed) {
		this.random = new Random(seed);
		this.jobs = new ArrayList<>();
		this.gone = new ArrayList<>();
		this.fleet = VirtualFleet.of(3, 2, 3);
		this.fleet.guarantee("c0", 2, new GuaranteedShape(1, SHAPES.get(4)));
		this.fleet.guarantee("c1", 1, new GuaranteedShape(2, SHAPES.get(7)), new GuaranteedShape(1, SHAPES.get(3)));
		ReclaimChecker checker = new ReclaimChecker(this.fleet);
		this.fleet.afterEvent = (fleet) -> checker.check();
	}

	private void act(int step) {
		int kind = this.random.nextInt(20);
		switch (kind) {
			case 0 -> loseWorker();
			case 1, 2 -> rejoinWorker();
			case 3 -> this.fleet.zone("z" + this.random.nextInt(3), ZoneState.OUT);
			case 4, 5 -> this.fleet.zone("z" + this.random.nextInt(3), ZoneState.IN);
			case 6 -> cancel();
			case 7 -> this.fleet.feed(new JobEvent.StartsAllowed(this.random.nextInt(3) > 0));
			case 8 -> leave();
			case 9 -> this.fleet.failing.add(new WorkerId("w0-0-" + this.random.nextInt(3)));
			case 10 -> this.fleet.failing.clear();
			default -> submit("j" + step);
		}
	}

	private void submit(String name) {
		JobSpec spec = VirtualFleet.spec("c" + this.random.nextInt(4), SHAPES.get(this.random.nextInt(SHAPES.size())));
		int kind = this.random.nextInt(6);
		if (kind == 0) {
			spec = VirtualFleet.once(spec);
		}
		else if (kind == 1) {
			spec = VirtualFleet.urgent(spec);
		}
		JobId job = new JobId(name);
		if (this.random.nextInt(10) == 0) {
			this.fleet.ignoringCheckpoint.add(job);
		}
		if (this.random.nextInt(20) == 0) {
			this.fleet.broken.add(job);
		}
		this.jobs.add(job);
		this.fleet.submit(name, spec, 500 + this.random.nextInt(30_000));
	}

	private void cancel() {
		if (!this.jobs.isEmpty()) {
			this.fleet.feed(new JobEvent.JobCancelled(this.jobs.get(this.random.nextInt(this.jobs.size()))));
		}
	}

	private void loseWorker() {
		WorkerInfo info = anyWorker();
		if (info != null && this.gone.size() < 4) {
			this.gone.add(info);
			this.fleet.lose(info.id());
		}
	}

	private void rejoinWorker() {
		if (!this.gone.isEmpty()) {
			this.fleet.rejoin(this.gone.remove(0));
		}
	}

	private void leave() {
		WorkerInfo info = anyWorker();
		if (info != null && this.gone.size() < 4) {
			WorkerId id = info.id();
			this.fleet.feed(new JobEvent.WorkerLeaving(id));
			this.fleet.runFor(this.random.nextInt(2_000));
			this.gone.add(info);
			this.fleet.lose(id);
		}
	}

	private WorkerInfo anyWorker() {
		List<WorkerInfo> workers = this.fleet.scheduler.workers()
			.stream()
			.map((view) -> view.worker())
			.filter((worker) -> !this.fleet.gone.contains(worker.id()))
			.toList();
		return workers.isEmpty() ? null : workers.get(this.random.nextInt(workers.size()));
	}

	private void heal() {
		this.fleet.failing.clear();
		while (!this.gone.isEmpty()) {
			rejoinWorker();
		}
		for (int zone = 0; zone < 3; zone++) {
			this.fleet.zone("z" + zone, ZoneState.IN);
		}
		this.fleet.feed(new JobEvent.StartsAllowed(true));
	}

	private int accepted() {
		return this.jobs.size() - this.fleet.refusals.size();
	}

	private List<String> unfinished() {
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
