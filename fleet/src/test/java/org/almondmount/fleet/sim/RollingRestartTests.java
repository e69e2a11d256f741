package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whole installations through random series of graceful restarts of their entries, alone
 * and together with other troubles, while jobs are cancelled.
 */
class RollingRestartTests {

	private static final int SEEDS = Integer.getInteger("almondmount.seeds", 40);

	private static final long FIRST_SEED = Long.getLong("almondmount.firstSeed", 1);

	/** One seed in so many is played in a larger installation too. */
	private static final int SEEDS_A_LARGE_ONE = 20;

	/** How long an entry that gave up its term goes on to answer callers. */
	private static final long DRAIN_MILLIS = 1_500;

	/** Restarts are decided on so long before, so that cancels can come before them. */
	private static final long AHEAD_MILLIS = 400;

	/** From one moment without any entry to the next; longer than a stop may take. */
	private static final long BETWEEN_OUTAGES_MILLIS = 6_000;

	private static final long RESTARTS_MILLIS = 30_000;

	/** Troubles come in so many spells, with calm after each. */
	private static final int SPELLS = 2;

	/** Long enough for Checker to judge what the last trouble left. */
	private static final long JUDGED_MILLIS = 18_000;

	/** By then the jobs that wait are worked off. */
	private static final long BACKLOG_MILLIS = 120_000;

	/** Orders that workers carry out late come so much later. */
	private static final long LATE_MILLIS = 8_000;

	/** Long enough for Checker to judge what still runs. */
	private static final long CALM_MILLIS = 18_000;

	static LongStream seeds() {
		return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
	}

	static Stream<Arguments> installations() {
		return seeds().boxed().flatMap((seed) -> {
			Stream<Arguments> small = Stream.of(Arguments.of(seed, 3, 5));
			Stream<Arguments> large = Stream.of(Arguments.of(seed, 6, 24));
			return (seed % SEEDS_A_LARGE_ONE == 0) ? Stream.concat(small, large) : small;
		});
	}

	// Guards against what a change of holder loses: orders, cancels, targets, callers.
	@ParameterizedTest
	@MethodSource("installations")
	void noPromiseIsBrokenThroughGracefulRestartsAndEveryJobEnds(long seed, int entries, int targets) {
		Play play = new Play(new FleetWorld(seed, entries, targets), new Random(seed), true);
		play.world.checker().requireStopsInTime();
		TermWatch terms = new TermWatch(play.world);
		play.world.runFor(3_000);
		terms.start();
		long until = play.world.time().now() + RESTARTS_MILLIS;
		while (play.world.time().now() < until) {
			play.submitSome(1 + play.random.nextInt(Math.max(1, targets / 4)));
			play.restart();
			if (play.random.nextInt(8) == 0) {
				play.world.zoneOut("zone-" + play.random.nextInt(3), 1_000 + play.random.nextInt(9_000));
			}
			play.world.runFor(300 + play.random.nextInt(2_700));
			play.ask();
		}
		play.requirePromisesOnceQuiet();
	}

	// Guards against cancelled jobs that run on after restarts amid other troubles.
	@ParameterizedTest
	@MethodSource("seeds")
	void noPromiseIsBrokenThroughRestartsAmidTroublesAndEveryJobEnds(long seed) {
		Play play = new Play(new FleetWorld(seed, 3, 5), new Random(seed), false);
		play.world.checker().requireStopsInTime();
		play.world.runFor(2_000);
		for (int spell = 0; spell < SPELLS; spell++) {
			long until = play.world.time().now() + RESTARTS_MILLIS / SPELLS;
			while (play.world.time().now() < until) {
				play.submitSome(1 + play.random.nextInt(2));
				play.trouble();
				play.restart();
				play.world.runFor(300 + play.random.nextInt(2_500));
				play.ask();
			}
			play.calm();
		}
		play.requirePromisesOnceQuiet();
	}

	/**
	 * One play with the random choices that are not the world's own.
	 */
	private static final class Play {

		private final FleetWorld world;

		private final Random random;

		private final List<Workflow> jobs = new ArrayList<>();

		/** Jobs to be cancelled about the time of the next restart. */
		private final List<String> cancelledAtRestart = new ArrayList<>();

		private FleetWorld.EntryProcess last;

		private int turn;

		private long outageAt = Long.MIN_VALUE / 2;

		private boolean troubledUntilCalm;

		/** Whether entries are only ever restarted, so that each cancel is answered. */
		private final boolean answersRequired;

		Play(FleetWorld world, Random random, boolean answersRequired) {
			this.world = world;
			this.answersRequired = answersRequired;
			this.random = random;
			this.last = world.entries().get(0);
		}

		void submitSome(int count) {
			for (int i = 0; i < count; i++) {
				Workflow job = RandomTroubleTests.job(this.world, this.random);
				this.jobs.add(job);
				long millis = 500 + this.random.nextInt((this.random.nextInt(3) == 0) ? 25_000 : 5_000);
				this.world.submit(job, millis, this.random.nextInt(12) == 0);
				if (this.random.nextInt(5) != 0) {
					continue;
				}
				if (this.random.nextBoolean()) {
					this.cancelledAtRestart.add(job.id());
				}
				else {
					this.world.time().after(this.random.nextInt(8_000), () -> cancel(job.id()));
				}
			}
		}

		void restart() {
			this.cancelledAtRestart
				.forEach((job) -> this.world.time().after(this.random.nextInt(1_000), () -> cancel(job)));
			this.cancelledAtRestart.clear();
			switch (this.random.nextInt(8)) {
				case 0 -> this.world.time().after(AHEAD_MILLIS, this::drainAll);
				case 1 -> {
					drainLater(next(), AHEAD_MILLIS);
					drainLater(next(), AHEAD_MILLIS + this.random.nextInt(300));
				}
				case 2 -> drainLater(this.last, AHEAD_MILLIS);
				case 3 -> this.world.time().after(AHEAD_MILLIS, () -> drain(this.world.theHolder()));
				default -> drainLater(next(), AHEAD_MILLIS);
			}
		}

		private FleetWorld.EntryProcess next() {
			this.last = this.world.entries().get(this.turn++ % this.world.entries().size());
			return this.last;
		}

		private void drainLater(FleetWorld.EntryProcess entry, long millis) {
			this.world.time().after(millis, () -> drain(entry));
		}

		// Where no other entry serves there is nobody to stop a run for a while.
		private void drain(FleetWorld.EntryProcess entry) {
			if (!entry.serves()) {
				return;
			}
			boolean another = this.world.entries().stream().anyMatch((other) -> other != entry && other.serves());
			if (another || beginsOutage()) {
				entry.drain(DRAIN_MILLIS);
			}
		}

		private void drainAll() {
			if (beginsOutage()) {
				this.world.entries().forEach((entry) -> entry.drain(DRAIN_MILLIS));
			}
		}

		private boolean beginsOutage() {
			long now = this.world.time().now();
			if (now - this.outageAt < BETWEEN_OUTAGES_MILLIS) {
				return false;
			}
			this.outageAt = now;
			return true;
		}

		private void cancel(String job) {
			if (!this.answersRequired) {
				this.world.cancel(job);
				return;
			}
			List<FleetWorld.EntryProcess> entries = this.world.entries();
			entries.get(this.random.nextInt(entries.size())).cancelAndRequireAnswer(job);
		}

		void ask() {
			this.world.ask(this.jobs.get(this.random.nextInt(this.jobs.size())).id());
		}

		void trouble() {
			long millis = RandomTroubleTests.trouble(this.world);
			this.troubledUntilCalm |= millis == RandomTroubleTests.UNTIL_CALM;
			this.world.checker().troubled(this.troubledUntilCalm ? Math.max(millis, LATE_MILLIS) : millis);
		}

		// Restarts go on: as long as another entry serves they are no trouble.
		void calm() {
			RandomTroubleTests.calm(this.world);
			if (this.troubledUntilCalm) {
				this.world.checker().troubled(LATE_MILLIS);
				this.troubledUntilCalm = false;
			}
			long until = this.world.time().now() + CALM_MILLIS;
			while (this.world.time().now() < until) {
				submitSome(1);
				restart();
				this.world.runFor(300 + this.random.nextInt(2_700));
				ask();
			}
		}

		private boolean everyJobIsOver() {
			return this.world.accepted()
				.stream()
				.map(this.world.seen()::get)
				.allMatch((phase) -> phase != null && phase.isTerminal());
		}

		void requirePromisesOnceQuiet() {
			this.world.runFor(JUDGED_MILLIS);
			long until = this.world.time().now() + BACKLOG_MILLIS;
			do {
				RandomTroubleTests.askAll(this.world, this.jobs);
			}
			while (!everyJobIsOver() && this.world.time().now() < until);
			assertThat(this.world.checker().broken()).isEmpty();
			assertThat(this.world.checker().begunThoughRefused()).isEmpty();
			for (String job : this.world.accepted()) {
				assertThat(this.world.seen().get(job)).as(job).isNotNull().matches(JobPhase::isTerminal);
			}
		}

	}

}
