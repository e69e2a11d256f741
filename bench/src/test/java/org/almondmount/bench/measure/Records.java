package org.almondmount.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;
import org.almondmount.bench.replay.AttemptRecord;
import org.almondmount.bench.replay.JobRecord;
import org.almondmount.bench.replay.ReplayRecord;
import org.almondmount.bench.workload.FleetChange;
import org.almondmount.bench.workload.PlannedJob;
import org.almondmount.bench.workload.Workload;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;

/**
 * Hand-made records: two workers of four accelerators, each in a zone of its own, and two
 * customers of equal weight.
 */
final class Records {

	static final WorkerId ONE = new WorkerId("one");

	static final WorkerId TWO = new WorkerId("two");

	static final ZoneId ZONE_ONE = new ZoneId("zone-one");

	static final CustomerId ALPHA = new CustomerId("alpha");

	static final CustomerId BETA = new CustomerId("beta");

	private final List<JobRecord> jobs = new ArrayList<>();

	private final List<FleetChange> changes = new ArrayList<>();

	private List<GuaranteedShape> guarantees = List.of();

	static GangShape gang(int members, int accelerators, Adjacency adjacency) {
		return new GangShape(members, new Resources(accelerators, 0, 0), adjacency);
	}

	Records alphaIsGuaranteed(GuaranteedShape shape) {
		this.guarantees = List.of(shape);
		return this;
	}

	Records change(FleetChange change) {
		this.changes.add(change);
		return this;
	}

	JobRecord job(CustomerId customer, GangShape shape, Urgency urgency, long submitAt, long run) {
		JobSpec spec = new JobSpec(customer, "any", shape, urgency, true, Duration.ofMillis(run),
				Duration.ofMillis(100), "run");
		JobRecord job = new JobRecord(new PlannedJob(new JobId("job-" + this.jobs.size()), submitAt, spec, run,
				JobOutcome.SUCCEEDED, true, PlannedJob.NEVER));
		this.jobs.add(job);
		return job;
	}

	JobRecord job(CustomerId customer, GangShape shape, long submitAt, long run) {
		return job(customer, shape, Urgency.NORMAL, submitAt, run);
	}

	// An attempt that is committed, held and whole at one moment and over at another.
	static AttemptRecord attempt(JobRecord job, long from, long to, WorkerId... workers) {
		AttemptRecord attempt = new AttemptRecord(job.attempts().size() + 1, from, List.of(workers));
		for (int i = 0; i < workers.length; i++) {
			attempt.held(i, from);
			attempt.released(i, to);
		}
		attempt.whole(from, 0);
		attempt.stopped(to);
		attempt.over(to);
		job.attempts().add(attempt);
		return attempt;
	}

	static void run(JobRecord job, long from, WorkerId... workers) {
		long to = from + job.planned().trueRunMillis();
		attempt(job, from, to, workers);
		job.end(to, JobOutcome.SUCCEEDED);
	}

	ReplayRecord endingAt(long endMillis) {
		List<WorkerInfo> workers = List.of(new WorkerInfo(ONE, ZONE_ONE, new RackId("rack"), new Resources(4, 0, 0)),
				new WorkerInfo(TWO, new ZoneId("zone-two"), new RackId("rack"), new Resources(4, 0, 0)));
		Configuration configuration = Configuration.EMPTY.withCustomer(new Customer(ALPHA, 1, this.guarantees))
			.withCustomer(new Customer(BETA, 1, List.of()));
		Workload workload = new Workload("hand-made", workers, configuration,
				this.jobs.stream().map(JobRecord::planned).toList(), this.changes, endMillis, false);
		return new ReplayRecord(workload, this.jobs, this.changes, endMillis, List.of(), new Histogram(3));
	}

}
