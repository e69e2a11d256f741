package org.almondmount.fleet.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Condition;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.rows.RowStore.Write;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.worker.WorkerCommand;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.JobFailure;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.LoadDecision;
import org.almondmount.workflow.PlacementRateLimiter;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowEvent;
import org.almondmount.workflow.WorkflowEvent.StoredJob;
import org.almondmount.workflow.WorkflowScheduler;

/**
 * Drives the scheduler while this entry holds the term: loads the stored jobs, persists
 * decisions and sends commands to targets. Confined to the event loop thread.
 */
final class SchedulerDriver {

	private static final EventLog LOG = EventLog.named("HolderDesk");

	/** Core-seconds of finished work, by outcome. */
	private static final String WORK_METRIC = "work";

	/** Failed jobs, by reason. */
	private static final String FAILED_JOBS_METRIC = "jobs.failed";

	/** Decisions under load or failure. */
	private static final String DECISIONS_METRIC = "decisions";

	/** Duration of a placement round. */
	private static final String PLACEMENT_METRIC = "placement";

	private static final int PAGE_SIZE = 500;

	/**
	 * Limit of progress rows without a job that are deleted in one transaction. A
	 * transaction has at most a hundred elements, and each row takes two: a condition and
	 * the deletion.
	 */
	private static final int MAX_ORPHANS_PER_TRANSACTION = 45;

	/** A page of rows is larger than other answers and takes longer. */
	private static final Duration PAGE_READ_TIMEOUT = Duration.ofMillis(1_000);

	private static final long TICK_INTERVAL_MILLIS = 50;

	private static final long RELOAD_DELAY_MILLIS = 100;

	/**
	 * Interval at which the intake is read for jobs whose entry ended before it notified
	 * the holder, in milliseconds. A caller sends its first query after about this time.
	 */
	private static final long INTAKE_READ_INTERVAL_MILLIS = 2_000;

	private final WorkflowScheduler scheduler;

	private final RowStore store;

	private final EventLoop loop;

	private final Telemetry telemetry;

	private final TermDriver term;

	private final TargetLinks targets;

	private final TargetCommandSender commandSender;

	private final long leaseMillis;

	private final PlacementRateLimiter placementRateLimiter = new PlacementRateLimiter();

	/**
	 * Whether a placement round is queued in the event loop behind the preceding events.
	 */
	private boolean placementRequested;

	private final Map<String, List<Consumer<Boolean>>> pendingCancels = new HashMap<>();

	private List<JobRecord> pendingRecords = List.of();

	private long pendingSequence;

	private boolean loaded;

	private long loadingEpoch;

	private long intakeVersion;

	private boolean intakeReadPending;

	private final StoredCancellations storedCancellations;

	/**
	 * Jobs whose progress can't be read. They are not placed, because completed tasks
	 * would run again.
	 */
	private final Set<String> withheldJobs = new HashSet<>();

	SchedulerDriver(WorkflowScheduler scheduler, RowStore store, EventLoop loop, Telemetry telemetry, TermDriver term,
			TargetLinks targets, FleetSettings settings) {
		this.scheduler = scheduler;
		this.store = store;
		this.loop = loop;
		this.telemetry = telemetry;
		this.term = term;
		this.targets = targets;
		this.leaseMillis = settings.leaseDuration().toMillis();
		this.storedCancellations = new StoredCancellations(settings.endedJobRetention().toMillis());
		telemetry.declare(WORK_METRIC, WorkOutcome.class);
		telemetry.declare(FAILED_JOBS_METRIC, JobFailure.class);
		telemetry.declare(DECISIONS_METRIC, LoadDecision.class);
		this.commandSender = new TargetCommandSender(term, targets, telemetry);
	}

	void start() {
		this.loop.scheduleRepeatedly(TICK_INTERVAL_MILLIS, () -> process(new WorkflowEvent.Tick()));
		this.loop.scheduleRepeatedly(INTAKE_READ_INTERVAL_MILLIS, this::readIntakeChanges);
		this.loop.scheduleRepeatedly(INTAKE_READ_INTERVAL_MILLIS, this::removeExpiredCancellations);
	}

	/**
	 * Whether the scheduler has loaded all stored jobs and may decide.
	 * @return whether it may decide
	 */
	boolean mayDecide() {
		return this.loaded && this.term.mayDecide();
	}

	void onTermBegan(long epoch) {
		this.loaded = false;
		this.loadingEpoch = epoch;
		this.intakeReadPending = false;
		this.targets.onTermBegan(epoch);
		load(epoch);
	}

	void onTermEnded() {
		this.loaded = false;
		this.loadingEpoch = 0;
		process(new WorkflowEvent.TermEnded());
		this.pendingCancels.values().forEach((waiting) -> waiting.forEach((callback) -> callback.accept(false)));
		this.pendingCancels.clear();
		this.targets.announceNoHolder();
	}

	void onPersisted(long sequence) {
		process(new WorkflowEvent.Persisted(sequence));
	}

	List<Write> writesFor(long sequence) {
		if (sequence != this.pendingSequence) {
			return List.of();
		}
		List<Write> writes = new ArrayList<>();
		for (JobRecord record : this.pendingRecords) {
			writes.add(new Write(Tables.progress(record.job()), Optional.of(RecordCodec.write(record))));
		}
		return writes;
	}

	void onConfigurationChanged(FleetConfiguration configuration, Set<String> zonesOut) {
		process(new WorkflowEvent.ConfigurationChanged(configuration));
		process(new WorkflowEvent.ZonesOutChanged(zonesOut));
	}

	void onJobAccepted(Workflow job) {
		if (this.loaded && !this.withheldJobs.contains(job.id())) {
			process(new WorkflowEvent.JobAccepted(job));
			cancelIfRequested(job.id());
		}
	}

	/**
	 * Handles a cancellation that is stored as a row of its own, whether or not the job
	 * is known here yet.
	 * @param job the job
	 */
	void onCancelPersisted(String job) {
		this.storedCancellations.add(this.loop.steadyMillis(), job);
		cancelIfRequested(job);
	}

	/**
	 * Returns the phase of a job.
	 * @param job the job
	 * @return its phase, or empty if the job is not known here
	 */
	Optional<JobPhase> phase(String job) {
		return this.scheduler.phase(job);
	}

	/**
	 * Returns why a job failed.
	 * @param job the job
	 * @return the reason, or empty if the job did not fail or is not known here
	 */
	String failureMessage(String job) {
		return this.scheduler.failureMessage(job).orElse("");
	}

	int queuedJobCount(String queue) {
		return this.scheduler.queuedJobCount(queue);
	}

	/**
	 * Cancels a job that is known here.
	 * @param job the job
	 * @param callback receives true once the cancellation is persisted, false if that is
	 * unknown
	 */
	void cancel(String job, Consumer<Boolean> callback) {
		this.pendingCancels.computeIfAbsent(job, (id) -> new ArrayList<>()).add(callback);
		process(new WorkflowEvent.CancelRequested(job));
	}

	// Targets do not repeat their messages. So messages are also handled while the
	// renewal of the term is pending; no lease is granted and no command is sent then.
	void onTargetMessage(String target, Message message) {
		if (this.term.epoch() == 0) {
			return;
		}
		if (message instanceof Message.TargetAlive heartbeat) {
			boolean workerAnswers = heartbeat.heartbeat() != WorkerCommand.SendHeartbeat.WORKER_SILENT;
			if (workerAnswers) {
				process(new WorkflowEvent.WorkerHeartbeat(target));
			}
			if (this.term.mayDecide()) {
				this.targets.grantLease(target, heartbeat.heartbeat(), this.term.epoch(),
						workerAnswers ? this.leaseMillis : 0);
			}
		}
		else if (message instanceof Message.WorkerStatus report && this.loaded) {
			process(new WorkflowEvent.WorkerReported(report.report()));
		}
		else if (message instanceof Message.RunNotStarted refused && this.loaded) {
			process(new WorkflowEvent.RunRefused(target, refused.task(), refused.run(), refused.reason()));
		}
	}

	private void process(WorkflowEvent event) {
		handle(event);
		if (!(event instanceof WorkflowEvent.WorkerHeartbeat)) {
			this.placementRateLimiter.requestRound();
			requestPlacement();
		}
	}

	// The round is queued behind the pending tasks of the event loop, so that a burst of
	// events causes a single round. If the round is not due yet, or the loop is full, the
	// next tick requests it again.
	private void requestPlacement() {
		if (!this.placementRequested && mayDecide() && this.placementRateLimiter.isDue(this.loop.steadyMillis())) {
			this.placementRequested = this.loop.execute(this::place);
		}
	}

	private void place() {
		this.placementRequested = false;
		if (!mayDecide()) {
			return;
		}
		long startMillis = this.loop.steadyMillis();
		handle(new WorkflowEvent.PlacementDue());
		long endMillis = this.loop.steadyMillis();
		this.placementRateLimiter.recordRound(startMillis, endMillis);
		this.telemetry.time(PLACEMENT_METRIC, Duration.ofMillis(endMillis - startMillis));
	}

	private void handle(WorkflowEvent event) {
		WorkflowScheduler.ClockReading now = new WorkflowScheduler.ClockReading(this.loop.steadyMillis(),
				this.loop.wallMillis());
		List<WorkflowCommand> commands = this.scheduler.handle(now, event);
		commands.forEach(this::execute);
	}

	private void execute(WorkflowCommand command) {
		if (command instanceof WorkflowCommand.LogDecision decision) {
			LOG.info(decision.event(), decision.keysAndValues().toArray());
		}
		else if (command instanceof WorkflowCommand.Persist persist) {
			this.pendingRecords = persist.records();
			this.pendingSequence = persist.sequence();
			this.term.persist(persist.sequence());
		}
		else if (command instanceof WorkflowCommand.AccountWork work) {
			this.telemetry.count(WORK_METRIC, work.outcome(), Math.round(work.coreSeconds()));
		}
		else if (command instanceof WorkflowCommand.CountFailure failure) {
			this.telemetry.count(FAILED_JOBS_METRIC, failure.failure());
		}
		else if (command instanceof WorkflowCommand.CountDecision decision) {
			this.telemetry.count(DECISIONS_METRIC, decision.decision());
		}
		else if (command instanceof WorkflowCommand.DeleteJobs deletion) {
			deleteJobs(deletion.jobs());
		}
		else if (command instanceof WorkflowCommand.CancellationPersisted persisted) {
			List<Consumer<Boolean>> waiting = this.pendingCancels.remove(persisted.job());
			if (waiting != null) {
				waiting.forEach((callback) -> callback.accept(true));
			}
		}
		else if (command instanceof WorkflowCommand.StartRun start) {
			this.commandSender.sendStart(start);
		}
		else if (command instanceof WorkflowCommand.StopRun stop) {
			this.commandSender.sendStop(stop);
		}
		else if (command instanceof WorkflowCommand.AcknowledgeEnds ends) {
			this.commandSender.sendEndsAcknowledgement(ends);
		}
	}

	// A job counts as accepted while its intake row exists, so this row is deleted first.
	// If the holder is lost in between, progress remains without an intake row; the next
	// holder deletes it when it loads.
	private void deleteJobs(List<String> jobs) {
		List<Write> rows = new ArrayList<>();
		for (String job : jobs) {
			rows.add(new Write(Tables.job(job), Optional.empty()));
			if (this.storedCancellations.contains(job)) {
				rows.add(new Write(Tables.cancel(job), Optional.empty()));
			}
		}
		deleteRows(rows, () -> deleteProgress(jobs, () -> {
			this.storedCancellations.removeAll(jobs);
			process(new WorkflowEvent.JobsDeleted(jobs));
		}));
	}

	private void deleteProgress(List<String> jobs, Runnable onDeleted) {
		deleteRows(jobs.stream().map((job) -> new Write(Tables.progress(job), Optional.empty())).toList(), onDeleted);
	}

	// Rows that can't be deleted now remain, and their deletion is retried later.
	private void deleteRows(List<Write> rows, Runnable onDeleted) {
		deleteRows(List.of(), rows, onDeleted);
	}

	private void deleteRows(List<Condition> conditions, List<Write> rows, Runnable onDeleted) {
		long epoch = this.loadingEpoch;
		this.loop.onCompletion(this.store.commit(conditions, rows, PAGE_READ_TIMEOUT), (outcome) -> {
			if (outcome instanceof RowStore.Commit.Conflict) {
				LOG.warn("rows-not-removed", "rows", rows.size(), "why", "a row was written again in the meantime");
				return;
			}
			if (!(outcome instanceof RowStore.Commit.Committed)) {
				LOG.warn("rows-not-removed", "rows", rows.size(), "why", outcome);
				return;
			}
			if (this.loadingEpoch == epoch) {
				onDeleted.run();
			}
		});
	}

	// Progress is read first: a job is accepted before it has progress, so the later read
	// of the intake finds the job of each progress row. In the opposite order, progress
	// that the next holder writes in the meantime would look like that of a deleted job.
	private void load(long epoch) {
		readAll(Tables.PROGRESS, "", new ArrayList<>(), Long.MAX_VALUE, epoch,
				(progress) -> readAll(Tables.INTAKE, "", new ArrayList<>(), Long.MAX_VALUE, epoch, (intake) -> {
					this.intakeVersion = intake.version();
					finishLoading(epoch, intake.rows(), progress.rows());
				}));
	}

	private void finishLoading(long epoch, List<Row> intake, List<Row> progress) {
		Map<String, JobRecord> records = new HashMap<>();
		this.withheldJobs.clear();
		for (Row row : progress) {
			RowDecoder.decode(LOG, row, RecordCodec::readProgress)
				.ifPresentOrElse((record) -> records.put(record.job(), record),
						() -> this.withheldJobs.add(row.place().key()));
		}
		Set<String> cancelled = new HashSet<>();
		Map<String, Workflow> jobs = new LinkedHashMap<>();
		for (Row row : intake) {
			if (Tables.isJobRow(row.place())) {
				RowDecoder.decode(LOG, row, RecordCodec::readWorkflow).ifPresent((job) -> jobs.put(job.id(), job));
			}
			else {
				cancelled.add(Tables.jobId(row.place()));
			}
		}
		List<StoredJob> storedJobs = new ArrayList<>();
		jobs.keySet().removeAll(this.withheldJobs);
		for (Workflow job : jobs.values()) {
			storedJobs
				.add(new StoredJob(job, Optional.ofNullable(records.get(job.id())), cancelled.contains(job.id())));
		}
		LOG.info("term-loaded", "epoch", epoch, "jobs", storedJobs.size(), "cancelled", cancelled.size(), "withheld",
				this.withheldJobs.size());
		this.storedCancellations.replaceAll(this.loop.steadyMillis(), cancelled);
		removeOrphans(epoch, intake, progress.stream().filter((row) -> records.containsKey(row.place().key())));
		this.loaded = true;
		process(new WorkflowEvent.TermBegan(epoch, storedJobs));
		this.targets.announceHolder(epoch);
		readIntakeChanges();
	}

	// A job that this version can't decode may be readable by another version, so its
	// progress has to remain, or completed work would be repeated. The conditions ensure
	// that a late deletion does not affect progress written since.
	private void removeOrphans(long epoch, List<Row> intake, Stream<Row> progress) {
		Set<String> accepted = new HashSet<>();
		intake.forEach((row) -> accepted.add(Tables.jobId(row.place())));
		List<Row> orphans = progress.filter((row) -> !accepted.contains(row.place().key()))
			.limit(MAX_ORPHANS_PER_TRANSACTION)
			.toList();
		if (orphans.isEmpty()) {
			return;
		}
		LOG.info("orphans-found", "epoch", epoch, "jobs", orphans.stream().map((row) -> row.place().key()).toList());
		deleteRows(orphans.stream().map((row) -> new Condition(row.place(), row.version())).toList(),
				orphans.stream().map((row) -> new Write(row.place(), Optional.empty())).toList(),
				() -> LOG.info("orphans-removed", "epoch", epoch, "jobs", orphans.size()));
	}

	private void readAll(String table, String from, List<Row> found, long oldestVersion, long epoch,
			Consumer<RowStore.Read.Found> consumer) {
		this.loop.onCompletion(this.store.read(table, from, PAGE_SIZE, PAGE_READ_TIMEOUT), (read) -> {
			if (this.loadingEpoch != epoch) {
				return;
			}
			if (!(read instanceof RowStore.Read.Found page)) {
				LOG.warn("load-retried", "table", table, "why", read);
				this.loop.schedule(RELOAD_DELAY_MILLIS,
						() -> readAll(table, from, found, oldestVersion, epoch, consumer));
				return;
			}
			found.addAll(page.rows());
			long sinceVersion = Math.min(oldestVersion, page.version());
			if (page.more() && !page.rows().isEmpty()) {
				String next = page.rows().get(page.rows().size() - 1).place().key() + "\0";
				readAll(table, next, found, sinceVersion, epoch, consumer);
				return;
			}
			consumer.accept(new RowStore.Read.Found(found, false, sinceVersion));
		});
	}

	// An entry that accepts a job notifies the holder at once. If the entry ends before
	// that, the job is in the store and is found here.
	private void readIntakeChanges() {
		if (!mayDecide() || this.intakeReadPending) {
			return;
		}
		this.intakeReadPending = true;
		long epoch = this.loadingEpoch;
		this.loop.onCompletion(this.store.changes(Tables.INTAKE, this.intakeVersion, Duration.ZERO), (changes) -> {
			this.intakeReadPending = false;
			if (this.loadingEpoch != epoch || !this.loaded) {
				return;
			}
			if (changes instanceof RowStore.Changes.Found found) {
				found.rows().forEach(this::applyIntakeRow);
				this.intakeVersion = Math.max(this.intakeVersion, found.version());
			}
			else if (changes instanceof RowStore.Changes.Forgotten) {
				readAll(Tables.INTAKE, "", new ArrayList<>(), Long.MAX_VALUE, epoch, (intake) -> {
					intake.rows().forEach(this::applyIntakeRow);
					this.intakeVersion = intake.version();
				});
			}
			else {
				LOG.warn("intake-look-retried", "why", changes);
				this.loop.schedule(RELOAD_DELAY_MILLIS, this::readIntakeChanges);
			}
		});
	}

	private void applyIntakeRow(Row row) {
		if (row.value().isEmpty()) {
			return;
		}
		String job = Tables.jobId(row.place());
		if (Tables.isJobRow(row.place())) {
			RowDecoder.decode(LOG, row, RecordCodec::readWorkflow).ifPresent(this::onJobAccepted);
			return;
		}
		onCancelPersisted(job);
	}

	// Rows that are read again arrive in the order of their keys, a cancellation before
	// its job. It has to be applied once the job is known, or the job would run although
	// its caller was told that it is cancelled.
	private void cancelIfRequested(String job) {
		boolean active = this.scheduler.phase(job).map((phase) -> !phase.isTerminal()).orElse(false);
		if (active && this.storedCancellations.contains(job)) {
			process(new WorkflowEvent.CancelRequested(job));
		}
	}

	// One row a transaction, so that a row that has to remain does not keep others. The
	// condition ensures that its job does not appear at the same time; the cancellation
	// would be lost.
	private void removeExpiredCancellations() {
		if (!mayDecide()) {
			return;
		}
		this.storedCancellations.nextExpired(this.loop.steadyMillis(), (job) -> phase(job).isPresent())
			.ifPresent((job) -> deleteRows(List.of(new Condition(Tables.job(job), 0)),
					List.of(new Write(Tables.cancel(job), Optional.empty())), () -> {
						LOG.info("cancel-forgotten", "job", job);
						this.storedCancellations.removeAll(List.of(job));
						removeExpiredCancellations();
					}));
	}

}
