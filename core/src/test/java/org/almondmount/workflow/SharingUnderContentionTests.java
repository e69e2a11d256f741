package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.almondmount.workflow.ContentionReplay.Arrival;
import org.almondmount.workflow.ContentionReplay.Served;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * More work than the fleet holds, asked for by customers of very different size.
 * Estimates are off by a factor of e, unless noted otherwise.
 */
class SharingUnderContentionTests {

	private static final long[] GUARANTEES = { 120, 52, 32, 23, 17, 14, 12, 10, 9, 8 };

	private static final int WORKERS = 63;

	private static final int SEEDS = 12;

	// Gangs of whole workers of the largest customer, c0, compete with hundreds of small
	// tasks of c1 and with c2, both above their entitlement for most of the time.
	@Test
	void fewerJobsAreLateAndNoCustomerStarves() {
		Map<String, Served> off = new TreeMap<>();
		Map<String, Served> on = new TreeMap<>();
		for (long seed = 1; seed <= SEEDS; seed++) {
			replay(false, WORKERS, GUARANTEES).play(load(seed), 120_000)
				.forEach((customer, served) -> off.merge(customer, served, Served::plus));
			replay(true, WORKERS, GUARANTEES).play(load(seed), 120_000)
				.forEach((customer, served) -> on.merge(customer, served, Served::plus));
		}
		assertThat(missed(on)).isLessThan(missed(off));
		assertThat(on.get("c0").missed()).isLessThanOrEqualTo(off.get("c0").missed());
		assertThat(on.get("c0").lost()).isZero();
		assertThat(on.values()).allMatch((served) -> served.lost() * 10 <= served.inTime() + served.missed());
	}

	// c1 asks for four times its entitlement, the others for theirs. They must not be
	// later than if it had asked for its own, and it still gets the work of its own share
	// in time.
	@Test
	void customerThatAsksForFourSharesDelaysNoOther() {
		Map<String, Served> modest = replay(true, 7, 32, 8, 8, 8).play(fourCustomers(1), 60_000);
		Map<String, Served> greedy = replay(true, 7, 32, 8, 8, 8).play(fourCustomers(4), 60_000);
		for (String customer : List.of("c0", "c2", "c3")) {
			assertThat(greedy.get(customer).missed()).isLessThanOrEqualTo(modest.get(customer).missed());
		}
		assertThat(greedy.get("c1").inTime() * 4).isGreaterThanOrEqualTo(modest.get("c1").inTime());
	}

	@Test
	void burstInsideAGuaranteeStartsWithinASecondWithAndWithoutShares() {
		for (boolean sharing : new boolean[] { true, false }) {
			List<Arrival> jobs = new ArrayList<>(load(1));
			for (int number = 0; number < 3; number++) {
				jobs.add(new Arrival(25_000, "u" + number, "c0", 0, step(5, 8, 52, true, 5_000), 5_000));
			}
			ContentionReplay replay = replay(sharing, WORKERS, GUARANTEES);
			replay.play(jobs, 60_000);
			assertThat(List.of("u0", "u1", "u2")).allMatch((job) -> replay.waitedMillis(job) <= 1_000);
		}
	}

	@Test
	void evenGuaranteesLeaveAllCommandsAsTheyWere() {
		ContentionReplay off = replay(false, WORKERS, 30, 30, 30);
		ContentionReplay on = replay(true, WORKERS, 30, 30, 30);
		off.play(load(1), 40_000);
		on.play(load(1), 40_000);
		assertThat(on.commands).isEqualTo(off.commands);
	}

	private static int missed(Map<String, Served> served) {
		return served.values().stream().mapToInt(Served::missed).sum();
	}

	private static ContentionReplay replay(boolean sharing, int workers, long... guarantees) {
		SchedulerPolicy policy = sharing ? SchedulerPolicy.DEFAULT.withFeatures(SchedulerFeature.ALL)
				: SchedulerPolicy.DEFAULT;
		List<JobQueue> queues = IntStream.range(0, 3)
			.mapToObj((priority) -> new JobQueue("q" + priority, "h", "/" + priority, "pool", priority, 2, 3, 1_000,
					false, false))
			.toList();
		List<FleetCustomer> customers = IntStream.range(0, guarantees.length)
			.mapToObj((number) -> new FleetCustomer("c" + number, Set.of(), guarantees[number]))
			.toList();
		return new ContentionReplay(policy, new FleetConfiguration(1, queues, List.of("pool"), customers), workers);
	}

	private static List<Arrival> load(long seed) {
		Random random = new Random(seed);
		List<Arrival> jobs = new ArrayList<>();
		for (long at = 2_000; at < 36_000; at += 100) {
			double load = (at > 10_000 && at < 32_000) ? 1 : 0.3;
			if (random.nextDouble() < 0.076 * load) {
				jobs.add(job(random, at, 0, 1, step(3 + random.nextInt(8), 8, 52, true, 7_000)));
			}
			if (random.nextDouble() < 0.027 * load) {
				jobs.add(job(random, at, 1, 2, step(39 + random.nextInt(192), 1, 4, false, 9_000)));
			}
			if (random.nextDouble() < 0.07 * load) {
				jobs.add(job(random, at, 2, 1, step(10 + random.nextInt(20), 2, 8, false, 8_000)));
			}
			for (int customer = 3; customer < GUARANTEES.length; customer++) {
				if (random.nextDouble() < 0.02) {
					Step step = step(1 + random.nextInt(6), 1 + random.nextInt(4), 8, random.nextBoolean(), 4_000);
					jobs.add(job(random, at, customer, random.nextInt(3), step));
				}
			}
		}
		return jobs;
	}

	private static List<Arrival> fourCustomers(int sharesOfSecond) {
		List<Arrival> jobs = new ArrayList<>();
		for (long at = 2_000; at < 40_000; at += 2_000) {
			jobs.add(new Arrival(at, "a" + at, "c1", 1, step(4 * sharesOfSecond, 1, 4, false, 4_000), 4_000));
			jobs.add(new Arrival(at + 100, "b" + at, "c0", 1, step(2, 8, 52, true, 4_000), 4_000));
			jobs.add(new Arrival(at + 200, "c" + at, "c2", 1, step(2, 2, 8, false, 4_000), 4_000));
			jobs.add(new Arrival(at + 300, "d" + at, "c3", 1, step(1, 4, 8, false, 4_000), 4_000));
		}
		return jobs;
	}

	private static Arrival job(Random random, long at, int customer, int priority, Step usual) {
		long trueMillis = (long) (usual.estimateMillis() * Math.exp(0.3 * random.nextGaussian()));
		Step step = step(usual.taskCount(), usual.demand().accelerators(), usual.demand().cpuMillis() / 1_000,
				usual.gangScheduled(), (long) (trueMillis * Math.exp(random.nextGaussian())));
		return new Arrival(at, "j" + at + "-" + customer, "c" + customer, priority, step, trueMillis);
	}

	private static Step step(int tasks, long accelerators, long cores, boolean gang, long estimateMillis) {
		return new Step(tasks, new ResourceAmount(cores * 1_000, 8_000, accelerators), estimateMillis, List.of(), false,
				gang, Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
	}

}
