package org.almondmount.bench.workload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;

/**
 * A share of the fleet that letter 1 expects: at share 1, 29,000 workers, 30,000
 * accelerators, 470 customers and about 160,000 running tasks. What would be running
 * arrives together at the beginning, with what is left of its run time; then 20,000 jobs
 * a day arrive, two in a hundred of them urgent. One zone goes out and comes back, and
 * workers die at the letter's rate. The replay is cut off at the end, so that measures of
 * endings mean nothing here.
 */
public final class LetterMix {

	private static final int WORKERS = 29_000;

	private static final int CUSTOMERS = 470;

	private static final int JOBS_A_DAY = 20_000;

	private static final int RUNNING_JOBS = 3_300;

	private static final int FAILURES_A_DAY = 2_260;

	private static final int HOURS_A_DAY = 24;

	private static final Resources CORES = new Resources(0, 5, 16_384);

	private static final Resources ACCELERATOR = new Resources(1, 6, 24_576);

	private static final Resources WHOLE_WORKER = new Resources(8, 48, 196_608);

	private static final long MINUTE = 60_000;

	private static final long FILL = MINUTE;

	private final Random random;

	private final JobMaker maker;

	private final double share;

	private final long length;

	private final List<CustomerId> customers = new ArrayList<>();

	private LetterMix(long seed, double share, long length) {
		this.random = new Random(seed);
		this.maker = new JobMaker(this.random);
		this.share = share;
		this.length = length;
		int count = Math.max(4, (int) (CUSTOMERS * share));
		for (int i = 0; i < count; i++) {
			this.customers.add(new CustomerId("team-" + (1_000 + i)));
		}
	}

	/**
	 * The mix.
	 * @param seed draws everything
	 * @param share of the letter's size, above 0 up to 1
	 * @param length how much virtual time is replayed
	 * @return the workload
	 */
	public static Workload create(long seed, double share, Duration length) {
		return new LetterMix(seed, share, length.toMillis()).create();
	}

	private Workload create() {
		List<WorkerInfo> workers = Fleets.letter((int) (WORKERS * this.share));
		for (int i = 0; i < RUNNING_JOBS * this.share; i++) {
			job((long) (this.random.nextDouble() * FILL), this.random.nextDouble());
		}
		double arrivals = JOBS_A_DAY * this.share * this.length / Duration.ofHours(HOURS_A_DAY).toMillis();
		for (int i = 0; i < arrivals; i++) {
			long at = FILL + (long) (this.random.nextDouble() * (this.length - FILL));
			if (this.random.nextInt(50) == 0) {
				urgent(at);
			}
			else {
				job(at, 1);
			}
		}
		return new Workload((this.share == 1) ? "Letter 1, full size" : "Letter 1, a share of " + this.share, workers,
				configuration(), this.maker.sorted(), changes(workers), this.length, true);
	}

	private void urgent(long at) {
		this.maker.job(customer(), "urgent")
			.shape(1, ACCELERATOR, Adjacency.ANY)
			.urgent()
			.submit(at,
					this.maker.logNormal(Duration.ofMinutes(5), 0.5, Duration.ofMinutes(1), Duration.ofMinutes(30)));
	}

	private void job(long at, double left) {
		JobMaker.Builder job = this.maker.job(customer(), "class-" + this.random.nextInt(4))
			.checkpointEvery(Duration.ofMinutes(10));
		int kind = this.random.nextInt(100);
		if (kind < 72) {
			job.shape(gang(32), CORES, Adjacency.ZONE);
		}
		else if (kind < 74) {
			job.shape(GangShape.MAX_MEMBERS, CORES, Adjacency.ZONE);
		}
		else if (kind < 90) {
			job.shape(gang(16), ACCELERATOR, Adjacency.RACK);
		}
		else {
			job.shape(1 + this.random.nextInt(4), WHOLE_WORKER, Adjacency.RACK);
		}
		long run = this.maker.logNormal(Duration.ofHours(3), 0.7, Duration.ofMinutes(20), Duration.ofHours(20));
		job.submit(at, Math.max(MINUTE, (long) (run * left)));
	}

	// A gang's size around the given one, a power of two up to the largest.
	private int gang(int middle) {
		int size = middle;
		int steps = this.random.nextInt(5) - 2;
		size = (steps < 0) ? size >> -steps : size << steps;
		return Math.max(1, Math.min(GangShape.MAX_MEMBERS, size));
	}

	private CustomerId customer() {
		double drawn = this.random.nextDouble();
		return this.customers.get((int) (drawn * drawn * this.customers.size()));
	}

	private Configuration configuration() {
		Map<CustomerId, Customer> all = new TreeMap<>();
		for (CustomerId customer : this.customers) {
			all.put(customer,
					new Customer(customer, 1,
							List.of(new GuaranteedShape(1, new GangShape(2, WHOLE_WORKER, Adjacency.RACK)),
									new GuaranteedShape(4, new GangShape(1, ACCELERATOR, Adjacency.WORKER)))));
		}
		return new Configuration(1, all, Map.of(), Map.of());
	}

	private List<FleetChange> changes(List<WorkerInfo> workers) {
		List<FleetChange> changes = new ArrayList<>();
		ZoneId zone = workers.get(0).zone();
		changes.add(new FleetChange.ZoneSet(this.length / 3, zone, ZoneState.OUT));
		changes.add(new FleetChange.ZoneSet(this.length / 2, zone, ZoneState.IN));
		double losses = FAILURES_A_DAY * this.share * this.length / Duration.ofHours(HOURS_A_DAY).toMillis();
		for (int i = 0; i < losses; i++) {
			long at = 2 * FILL + (long) (this.random.nextDouble() * (this.length - 2 * FILL));
			WorkerInfo worker = workers.get(this.random.nextInt(workers.size()));
			boolean again = changes.stream()
				.anyMatch(
						(change) -> change instanceof FleetChange.WorkerLoss loss && loss.worker().equals(worker.id()));
			if (!again) {
				changes.add(new FleetChange.WorkerLoss(at, worker.id(), at + 5 * MINUTE));
			}
		}
		changes.sort(Comparator.comparingLong(FleetChange::at));
		return changes;
	}

}
