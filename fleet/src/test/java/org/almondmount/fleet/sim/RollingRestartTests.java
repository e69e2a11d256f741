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
 * Complete installations under random series of graceful restarts of their entries, alone
 * and together with other faults, while jobs are cancelled.
 */
class RollingRestartTests {

	private static final int SEEDS = Integer.getInteger("almondmount.seeds", 40);

	private static final long FIRST_SEED = Long.getLong("almondmount.firstSeed", 1);

	/** One seed out of this many also runs in a larger installation. */
	private static final int SEEDS_PER_LARGE_INSTALLATION = 20;

	/** Time for which an entry that released its term continues to answer callers. */
	private static final long DRAIN_MILLIS = 1_500;

	/**
	 * Time from the decision on a restart to the restart, so that cancellations can
	 * precede it.
	 */
	private static final long RESTART_LEAD_MILLIS = 400;

	/**
	 * Time between two outages of all entries; longer than the time allowed to stop a
	 * run.
	 */
	private static final long MIN_OUTAGE_INTERVAL_MILLIS = 6_000;

	private static final long RESTART_PHASE_MILLIS = 30_000;

	/** Number of periods with faults, each followed by a period without. */
	private static final int FAULT_PERIOD_COUNT = 2;

	/** Long enough for InvariantChecker to check the effects of the last fault. */
	private static final long FINAL_CHECK_MILLIS = 18_000;

	/** Time by which the waiting jobs have run. */
	private static final long MAX_BACKLOG_MILLIS = 120_000;

	/** Maximum delay of commands that workers execute late. */
	private static final long MAX_COMMAND_DELAY_MILLIS = 8_000;

	/** Long enough for InvariantChecker to check which runs remain. */
	private static final long FAULT_FREE_PERIOD_MILLIS = 18_000;

	static LongStream seeds() {
		return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
	}

	static Stream<Arguments> installations() {
		return seeds().boxed().flatMap((seed) -> {
			Stream<Arguments> small = Stream.of(Arguments.of(seed, 3, 5));
			Stream<Arguments> large = Stream.of(Arguments.of(seed, 6, 24));
			return (seed % SEEDS_PER_LARGE_INSTALLATION == 0) ? Stream.concat(small, large) : small;
		});
	}

	// Guards against commands, cancellations, targets and callers that are lost when the
	// holder changes.
	@ParameterizedTest
	@MethodSource("installations")
	void invariantsHoldThroughGracefulRestartsAndEveryJobEnds(long seed, int entries, int targets) {
		Scenario scenario = new Scenario(new FleetSimulation(seed, entries, targets), new Random(seed), true);
		scenario.simulation.checker().requireStopsInTime();
		TermMonitor termMonitor = new TermMonitor(scenario.simulation);
		scenario.simulation.runFor(3_000);
		termMonitor.start();
		long until = scenario.simulation.clock().now() + RESTART_PHASE_MILLIS;
		while (scenario.simulation.clock().now() < until) {
			scenario.submitRandomJobs(1 + scenario.random.nextInt(Math.max(1, targets / 4)));
			scenario.restart();
			if (scenario.random.nextInt(8) == 0) {
				scenario.simulation.takeZoneOut("zone-" + scenario.random.nextInt(3),
						1_000 + scenario.random.nextInt(9_000));
			}
			scenario.simulation.runFor(300 + scenario.random.nextInt(2_700));
			scenario.queryRandomJob();
		}
		scenario.requireInvariantsAfterRecovery();
	}

	// Guards against cancelled jobs that run on after restarts amid other faults.
	@ParameterizedTest
	@MethodSource("seeds")
	void invariantsHoldThroughRestartsAmidFaultsAndEveryJobEnds(long seed) {
		Scenario scenario = new Scenario(new FleetSimulation(seed, 3, 5), new Random(seed), false);
		scenario.simulation.checker().requireStopsInTime();
		scenario.simulation.runFor(2_000);
		for (int period = 0; period < FAULT_PERIOD_COUNT; period++) {
			long until = scenario.simulation.clock().now() + RESTART_PHASE_MILLIS / FAULT_PERIOD_COUNT;
			while (scenario.simulation.clock().now() < until) {
				scenario.submitRandomJobs(1 + scenario.random.nextInt(2));
				scenario.injectFault();
				scenario.restart();
				scenario.simulation.runFor(300 + scenario.random.nextInt(2_500));
				scenario.queryRandomJob();
			}
			scenario.runWithoutFaults();
		}
		scenario.requireInvariantsAfterRecovery();
	}

	/**
	 * One run of a simulation, with the random choices that the simulation does not make
	 * itself.
	 */
	private static final class Scenario {

		private final FleetSimulation simulation;

		private final Random random;

		private final List<Workflow> jobs = new ArrayList<>();

		/** Jobs to be cancelled around the time of the next restart. */
		private final List<String> cancelAtRestart = new ArrayList<>();

		private FleetSimulation.EntryProcess lastRestarted;

		private int nextEntryIndex;

		private long lastOutageAt = Long.MIN_VALUE / 2;

		private boolean faultUntilStopped;

		/**
		 * Whether entries are only restarted gracefully, so that each cancellation has to
		 * be answered.
		 */
		private final boolean answersRequired;

		Scenario(FleetSimulation simulation, Random random, boolean answersRequired) {
			this.simulation = simulation;
			this.answersRequired = answersRequired;
			this.random = random;
			this.lastRestarted = simulation.entries().get(0);
		}

		void submitRandomJobs(int count) {
			for (int i = 0; i < count; i++) {
				Workflow job = RandomTroubleTests.randomJob(this.simulation, this.random);
				this.jobs.add(job);
				long millis = 500 + this.random.nextInt((this.random.nextInt(3) == 0) ? 25_000 : 5_000);
				this.simulation.submit(job, millis, this.random.nextInt(12) == 0);
				if (this.random.nextInt(5) != 0) {
					continue;
				}
				if (this.random.nextBoolean()) {
					this.cancelAtRestart.add(job.id());
				}
				else {
					this.simulation.clock().scheduleAfter(this.random.nextInt(8_000), () -> cancel(job.id()));
				}
			}
		}

		void restart() {
			this.cancelAtRestart
				.forEach((job) -> this.simulation.clock().scheduleAfter(this.random.nextInt(1_000), () -> cancel(job)));
			this.cancelAtRestart.clear();
			switch (this.random.nextInt(8)) {
				case 0 -> this.simulation.clock().scheduleAfter(RESTART_LEAD_MILLIS, this::drainAll);
				case 1 -> {
					drainLater(nextEntry(), RESTART_LEAD_MILLIS);
					drainLater(nextEntry(), RESTART_LEAD_MILLIS + this.random.nextInt(300));
				}
				case 2 -> drainLater(this.lastRestarted, RESTART_LEAD_MILLIS);
				case 3 ->
					this.simulation.clock().scheduleAfter(RESTART_LEAD_MILLIS, () -> drain(this.simulation.holder()));
				default -> drainLater(nextEntry(), RESTART_LEAD_MILLIS);
			}
		}

		private FleetSimulation.EntryProcess nextEntry() {
			this.lastRestarted = this.simulation.entries()
				.get(this.nextEntryIndex++ % this.simulation.entries().size());
			return this.lastRestarted;
		}

		private void drainLater(FleetSimulation.EntryProcess entry, long millis) {
			this.simulation.clock().scheduleAfter(millis, () -> drain(entry));
		}

		// If no other entry is in service, no run can be stopped for some time.
		private void drain(FleetSimulation.EntryProcess entry) {
			if (!entry.isServing()) {
				return;
			}
			boolean anotherServes = this.simulation.entries()
				.stream()
				.anyMatch((other) -> other != entry && other.isServing());
			if (anotherServes || tryBeginOutage()) {
				entry.drain(DRAIN_MILLIS);
			}
		}

		private void drainAll() {
			if (tryBeginOutage()) {
				this.simulation.entries().forEach((entry) -> entry.drain(DRAIN_MILLIS));
			}
		}

		private boolean tryBeginOutage() {
			long now = this.simulation.clock().now();
			if (now - this.lastOutageAt < MIN_OUTAGE_INTERVAL_MILLIS) {
				return false;
			}
			this.lastOutageAt = now;
			return true;
		}

		private void cancel(String job) {
			if (!this.answersRequired) {
				this.simulation.cancel(job);
				return;
			}
			List<FleetSimulation.EntryProcess> entries = this.simulation.entries();
			entries.get(this.random.nextInt(entries.size())).cancelAndRequireAnswer(job);
		}

		void queryRandomJob() {
			this.simulation.queryPhase(this.jobs.get(this.random.nextInt(this.jobs.size())).id());
		}

		void injectFault() {
			long millis = RandomTroubleTests.injectFault(this.simulation);
			this.faultUntilStopped |= millis == RandomTroubleTests.UNTIL_FAULTS_STOP;
			this.simulation.checker()
				.recordFault(this.faultUntilStopped ? Math.max(millis, MAX_COMMAND_DELAY_MILLIS) : millis);
		}

		// Restarts continue: they are not faults as long as another entry is in service.
		void runWithoutFaults() {
			RandomTroubleTests.stopFaults(this.simulation);
			if (this.faultUntilStopped) {
				this.simulation.checker().recordFault(MAX_COMMAND_DELAY_MILLIS);
				this.faultUntilStopped = false;
			}
			long until = this.simulation.clock().now() + FAULT_FREE_PERIOD_MILLIS;
			while (this.simulation.clock().now() < until) {
				submitRandomJobs(1);
				restart();
				this.simulation.runFor(300 + this.random.nextInt(2_700));
				queryRandomJob();
			}
		}

		private boolean isEveryJobTerminal() {
			return this.simulation.acceptedJobs()
				.stream()
				.map(this.simulation.observedPhases()::get)
				.allMatch((phase) -> phase != null && phase.isTerminal());
		}

		void requireInvariantsAfterRecovery() {
			this.simulation.runFor(FINAL_CHECK_MILLIS);
			long until = this.simulation.clock().now() + MAX_BACKLOG_MILLIS;
			do {
				RandomTroubleTests.queryAll(this.simulation, this.jobs);
			}
			while (!isEveryJobTerminal() && this.simulation.clock().now() < until);
			assertThat(this.simulation.checker().violations()).isEmpty();
			assertThat(this.simulation.checker().jobsStartedDespiteRefusal()).isEmpty();
			for (String job : this.simulation.acceptedJobs()) {
				assertThat(this.simulation.observedPhases().get(job)).as(job).isNotNull().matches(JobPhase::isTerminal);
			}
		}

	}

}
