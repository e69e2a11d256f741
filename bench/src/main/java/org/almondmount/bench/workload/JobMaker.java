package org.almondmount.bench.workload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;

/**
 * Draws jobs from a seeded source and collects them. Declared run times are the true ones
 * times a log-normal factor, so that about one in six is off by more than 2.7 in each
 * direction. Not thread-safe.
 */
final class JobMaker {

	private static final double DECLARED_SPREAD = 1.0;

	private static final double LEAST_FACTOR = 0.1;

	private static final double GREATEST_FACTOR = 10;

	private final Random random;

	private final List<PlannedJob> jobs = new ArrayList<>();

	JobMaker(Random random) {
		this.random = random;
	}

	// A log-normal time in milliseconds between two bounds.
	long logNormal(Duration median, double spread, Duration least, Duration greatest) {
		double drawn = median.toMillis() * Math.exp(spread * this.random.nextGaussian());
		return (long) Math.max(least.toMillis(), Math.min(greatest.toMillis(), drawn));
	}

	Builder job(CustomerId customer, String jobClass) {
		return new Builder(customer, jobClass);
	}

	List<PlannedJob> sorted() {
		List<PlannedJob> sorted = new ArrayList<>(this.jobs);
		sorted.sort(Comparator.comparingLong(PlannedJob::submitAt));
		return sorted;
	}

	/**
	 * One job in the making, repeatable, normal and without checkpoints unless told
	 * otherwise.
	 */
	final class Builder {

		private final CustomerId customer;

		private final String jobClass;

		private GangShape shape;

		private Urgency urgency = Urgency.NORMAL;

		private boolean repeatable = true;

		private Duration checkpointEvery = Duration.ZERO;

		private boolean possible = true;

		private JobOutcome ending = JobOutcome.SUCCEEDED;

		private long cancelAt = PlannedJob.NEVER;

		Builder(CustomerId customer, String jobClass) {
			this.customer = customer;
			this.jobClass = jobClass;
		}

		Builder shape(int members, Resources each, Adjacency adjacency) {
			this.shape = new GangShape(members, each, adjacency);
			return this;
		}

		Builder urgent() {
			this.urgency = Urgency.URGENT;
			return this;
		}

		Builder checkpointEvery(Duration time) {
			this.checkpointEvery = time;
			return this;
		}

		// May not be repeated and can't checkpoint, so that it can't be preempted.
		Builder atMostOnce() {
			this.repeatable = false;
			this.checkpointEvery = Duration.ZERO;
			return this;
		}

		Builder impossible() {
			this.possible = false;
			return this;
		}

		Builder failing() {
			this.ending = JobOutcome.FAILED;
			return this;
		}

		Builder cancelAt(long time) {
			this.cancelAt = time;
			return this;
		}

		void submit(long at, long trueRunMillis) {
			double factor = Math.exp(DECLARED_SPREAD * JobMaker.this.random.nextGaussian());
			factor = Math.max(LEAST_FACTOR, Math.min(GREATEST_FACTOR, factor));
			Duration declared = Duration.ofMillis(Math.max(1_000, (long) (trueRunMillis * factor)));
			JobSpec spec = new JobSpec(this.customer, this.jobClass, this.shape, this.urgency, this.repeatable,
					declared, this.checkpointEvery, "run");
			JobId id = new JobId("job-" + JobMaker.this.jobs.size());
			JobMaker.this.jobs
				.add(new PlannedJob(id, at, spec, trueRunMillis, this.ending, this.possible, this.cancelAt));
		}

	}

}
