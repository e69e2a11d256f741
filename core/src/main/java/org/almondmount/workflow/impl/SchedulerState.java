package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.FeatureTrigger;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.LoadDecision;
import org.almondmount.workflow.QueueDeclaration;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.SchedulerPolicy;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowScheduler.ClockReading;
import org.almondmount.workflow.speed.SpeedProfile;

/**
 * The state that the components of the scheduler share. Mutable; owned by the scheduler.
 */
final class SchedulerState {

	private final SchedulerPolicy policy;

	private final Map<String, JobState> jobs = new LinkedHashMap<>();

	private final Map<String, Worker> workers = new LinkedHashMap<>();

	private final WriteAheadBuffer writeAheadBuffer = new WriteAheadBuffer();

	private final RunTimeEstimator runTimeEstimator = new RunTimeEstimator();

	private List<WorkflowCommand> commands = new ArrayList<>();

	private FleetConfiguration configuration = FleetConfiguration.NONE;

	private Set<SchedulerFeature> activeFeatures;

	private Set<String> zonesOut = Set.of();

	private SpeedProfile speedProfile = SpeedProfile.EVEN;

	private boolean speedProfileOutdated;

	private long epoch;

	private long termBeganMillis;

	private ClockReading now = new ClockReading(0, 0);

	SchedulerState(SchedulerPolicy policy) {
		this.policy = policy;
		this.activeFeatures = activeFeatures(FleetConfiguration.NONE);
	}

	SchedulerPolicy policy() {
		return this.policy;
	}

	/**
	 * Whether a feature is active.
	 * @param feature the feature
	 * @return whether it is enabled and the configuration calls for it
	 */
	boolean has(SchedulerFeature feature) {
		return this.activeFeatures.contains(feature);
	}

	/**
	 * Returns the active features that the configuration called for.
	 * @return the features that are not always active
	 */
	Set<SchedulerFeature> triggeredFeatures() {
		Set<SchedulerFeature> triggered = EnumSet.noneOf(SchedulerFeature.class);
		for (SchedulerFeature feature : this.activeFeatures) {
			if (feature.trigger() != FeatureTrigger.ALWAYS) {
				triggered.add(feature);
			}
		}
		return triggered;
	}

	private Set<SchedulerFeature> activeFeatures(FleetConfiguration declared) {
		Set<SchedulerFeature> active = EnumSet.noneOf(SchedulerFeature.class);
		for (SchedulerFeature feature : this.policy.features()) {
			if (feature.trigger().matches(declared)) {
				active.add(feature);
			}
		}
		return active;
	}

	Map<String, JobState> jobs() {
		return this.jobs;
	}

	/**
	 * Returns the workers by the name of their target, each with its current incarnation
	 * only.
	 * @return the workers
	 */
	Map<String, Worker> workers() {
		return this.workers;
	}

	Worker worker(String target, WorkerIncarnation incarnation) {
		return this.workers.computeIfAbsent(target, (name) -> new Worker(name, incarnation, steadyMillis()));
	}

	RunTimeEstimator runTimeEstimator() {
		return this.runTimeEstimator;
	}

	WriteAheadBuffer writeAheadBuffer() {
		return this.writeAheadBuffer;
	}

	FleetConfiguration configuration() {
		return this.configuration;
	}

	void configuration(FleetConfiguration next) {
		if (next.revision() >= this.configuration.revision()) {
			this.configuration = next;
			this.activeFeatures = activeFeatures(next);
		}
	}

	/**
	 * Returns the queue of a job. A job whose queue was removed after the job had been
	 * accepted keeps the latest declaration of it, or it could never run to its end.
	 * @param job the job
	 * @return the queue; empty before this process has read the configuration, or if no
	 * declaration of the queue is known
	 */
	Optional<JobQueue> queueOf(JobState job) {
		if (this.configuration.revision() == 0) {
			return Optional.empty();
		}
		return job.declaration().map(QueueDeclaration::queue);
	}

	Set<String> zonesOut() {
		return this.zonesOut;
	}

	void zonesOut(Set<String> zones) {
		this.zonesOut = Set.copyOf(zones);
	}

	/**
	 * Returns the epoch of this process's term.
	 * @return the epoch, 0 if this process is not the holder
	 */
	long epoch() {
		return this.epoch;
	}

	void beginTerm(long next) {
		endTerm();
		this.epoch = next;
		this.termBeganMillis = steadyMillis();
	}

	/**
	 * Returns how long this process has held the term.
	 * @return milliseconds since its term began
	 */
	long termAgeMillis() {
		return steadyMillis() - this.termBeganMillis;
	}

	void endTerm() {
		this.epoch = 0;
		this.jobs.clear();
		this.workers.clear();
		this.writeAheadBuffer.clear();
		this.runTimeEstimator.clear();
		this.speedProfile = SpeedProfile.EVEN;
	}

	void recordSpeed(Run run, long runMillis) {
		this.speedProfileOutdated |= run.task().step().runTimes().record(run.worker().speed(), runMillis);
	}

	/**
	 * Returns the speeds of the workers, updated with the runs recorded since.
	 * @return the profile; {@link SpeedProfile#EVEN} if speeds are not learnt
	 */
	SpeedProfile speedProfile() {
		if (!has(SchedulerFeature.PREFER_FAST_WORKERS)) {
			return SpeedProfile.EVEN;
		}
		if (this.speedProfileOutdated) {
			this.speedProfileOutdated = false;
			updateSpeedProfile(SpeedProfile
				.of(this.workers.values().stream().filter((worker) -> !worker.lapsed()).map(Worker::speed).toList()));
		}
		return this.speedProfile;
	}

	private void updateSpeedProfile(SpeedProfile next) {
		if (next.isUneven() != this.speedProfile.isUneven()) {
			explain("worker-speeds", "uneven", next.isUneven(), "fast",
					this.workers.values().stream().filter((worker) -> next.isFast(worker.speed())).count(), "known",
					this.workers.values().stream().filter((worker) -> worker.speed().isKnown()).count(), "workers",
					this.workers.size());
		}
		this.speedProfile = next;
	}

	void now(ClockReading instant) {
		this.now = instant;
	}

	long steadyMillis() {
		return this.now.steadyMillis();
	}

	long wallMillis() {
		return this.now.wallMillis();
	}

	void emit(WorkflowCommand command) {
		this.commands.add(command);
	}

	void explain(String event, Object... keysAndValues) {
		emit(WorkflowCommand.LogDecision.of(event, keysAndValues));
	}

	void count(LoadDecision decision) {
		emit(new WorkflowCommand.CountDecision(decision));
	}

	List<WorkflowCommand> commands() {
		return this.commands;
	}

	List<WorkflowCommand> takeCommands() {
		List<WorkflowCommand> taken = this.commands;
		this.commands = new ArrayList<>();
		return taken;
	}

	/**
	 * Whether a worker will not be given new runs again in its current incarnation, or
	 * not for long.
	 * @param worker the worker
	 * @return whether it is draining, its lease has lapsed, it was replaced by a later
	 * incarnation, or its zone is out of service
	 */
	boolean isLeaving(Worker worker) {
		return worker.draining() || worker.lapsed() || this.workers.get(worker.target()) != worker
				|| this.zonesOut.contains(worker.zone());
	}

	/**
	 * Whether new runs may be started on a worker now.
	 * @param worker the worker
	 * @return whether it is known and holds its lease, obeys this term's epoch, was heard
	 * from recently, is in a zone that is in service, is not draining and is not paused
	 */
	boolean canStartOn(Worker worker) {
		return worker.description().isPresent() && !worker.lapsed() && !worker.draining()
				&& worker.epoch() >= this.epoch
				&& steadyMillis() - worker.lastContactMillis() <= this.policy.maxSilenceMillis()
				&& !this.zonesOut.contains(worker.zone()) && worker.health().usable(steadyMillis());
	}

}
