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
import java.util.function.Function;
import java.util.stream.Stream;

import org.almondmount.fleet.Loop;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.model.InvalidValueException;
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
import org.almondmount.workflow.PlacementRateLimiter;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowEvent;
import org.almondmount.workflow.WorkflowEvent.StoredJob;
import org.almondmount.workflow.WorkflowScheduler;

/**
 * Drives the scheduler while this entry holds the term: reads what is kept, keeps what it
 * decides and carries its orders to targets. Belongs to the loop's thread.
 */
final class HolderDesk {

	private static final EventLog LOG = EventLog.of(HolderDesk.class);

	/** Core-seconds of work that is over, by what became of it. */
	private static final String WORK = "work";

	/** Jobs that were given up, by reason. */
	private static final String FAILED = "jobs.failed";

	/** What a round of placing waiting work takes. */
	private static final String PLACEMENT = "placement";

	private static final int PAGE = 500;

	/**
	 * Progress without a job that is removed in one transaction: each row takes two of
	 * its hundred entries, a condition and the removal.
	 */
	private static final int MOST_ORPHANS = 45;

	/** A page of rows is larger than other answers. */
	private static final Duration PAGE_TIMEOUT = Duration.ofMillis(1_000);

	private static final long TICK_MILLIS = 50;

	private static final long RELOAD_MILLIS = 100;

	/**
	 * How often jobs are looked for whose entry did not live to tell of them, in
	 * milliseconds: a caller's first question comes about then.
	 */
	private static final long INTAKE_MILLIS = 2_000;

	private final WorkflowScheduler scheduler;

	private final RowStore store;

	private final Loop loop;

	private final Telemetry telemetry;

	private final TermDriver term;

	private final TargetLinks targets;

	private final TargetOrders orders;

	private final long leaseMillis;

	private final PlacementRateLimiter pace = new PlacementRateLimiter();

	/** Whether a round waits in the loop behind the events that came before it. */
	private boolean placementAsked;

	private final Map<String, List<Consumer<Boolean>>> cancels = new HashMap<>();

	private List<JobRecord> saving = List.of();

	private long savingSequence;

	private boolean loaded;

	private long loadingEpoch;

	private long intakeVersion;

	private boolean intakeAsked;

	/** Jobs beside which a cancel is kept. */
	private final Set<String> cancelRows = new HashSet<>();

	HolderDesk(WorkflowScheduler scheduler, RowStore store, Loop loop, Telemetry telemetry, TermDriver term,
			TargetLinks targets, long leaseMillis) {
		this.scheduler = scheduler;
		this.store = store;
		this.loop = loop;
		this.telemetry = telemetry;
		this.term = term;
		this.targets = targets;
		this.leaseMillis = leaseMillis;
		telemetry.declare(WORK, WorkOutcome.class);
		telemetry.declare(FAILED, JobFailure.class);
		this.orders = new TargetOrders(term, targets, telemetry);
	}

	void start() {
		this.loop.every(TICK_MILLIS, () -> feed(new WorkflowEvent.Tick()));
		this.loop.every(INTAKE_MILLIS, this::lookAtIntake);
	}

	/**
	 * Whether the scheduler knows all that is kept and may decide.
	 * @return whether it does
	 */
	boolean deciding() {
		return this.loaded && this.term.mayDecide();
	}

	void termBegan(long epoch) {
		this.loaded = false;
		this.loadingEpoch = epoch;
		this.intakeAsked = false;
		this.targets.termBegan(epoch);
		load(epoch);
	}

	void termEnded() {
		this.loaded = false;
		this.loadingEpoch = 0;
		feed(new WorkflowEvent.TermEnded());
		this.cancels.values().forEach((waiting) -> waiting.forEach((taker) -> taker.accept(false)));
		this.cancels.clear();
		this.targets.announceNoHolder();
	}

	void saved(long sequence) {
		feed(new WorkflowEvent.Persisted(sequence));
	}

	List<Write> writesOf(long sequence) {
		if (sequence != this.savingSequence) {
			return List.of();
		}
		List<Write> writes = new ArrayList<>();
		for (JobRecord record : this.saving) {
			writes.add(new Write(Tables.progress(record.job()), Optional.of(RecordCodec.write(record))));
		}
		return writes;
	}

	void declared(FleetConfiguration configuration, Set<String> zonesOut) {
		feed(new WorkflowEvent.ConfigurationChanged(configuration));
		feed(new WorkflowEvent.ZonesOutChanged(zonesOut));
	}

	void accepted(Workflow job) {
		if (this.loaded) {
			feed(new WorkflowEvent.JobAccepted(job));
			cancelIfWanted(job.id());
		}
	}

	/**
	 * A cancel is kept beside its job, whether the job is known here yet or not.
	 * @param job the job
	 */
	void cancelKept(String job) {
		this.cancelRows.add(job);
		cancelIfWanted(job);
	}

	/**
	 * Where a job stands.
	 * @param job the job
	 * @return its phase, or empty where it is not known here
	 */
	Optional<JobPhase> phase(String job) {
		return this.scheduler.phase(job);
	}

	/**
	 * Why a job was given up.
	 * @param job the job
	 * @return the reason, or empty where it was not given up or is not known here
	 */
	String failure(String job) {
		return this.scheduler.failureMessage(job).orElse("");
	}

	int waiting(String queue) {
		return this.scheduler.queuedJobCount(queue);
	}

	/**
	 * Cancels a job that is known here.
	 * @param job the job
	 * @param taker told true once the cancel is kept, false where that is not known
	 */
	void cancel(String job, Consumer<Boolean> taker) {
		this.cancels.computeIfAbsent(job, (id) -> new ArrayList<>()).add(taker);
		feed(new WorkflowEvent.CancelRequested(job));
	}

	// What targets tell is told once. It is heard too while the term waits to be renewed;
	// nothing is granted or ordered then.
	void heard(String target, Message message) {
		if (this.term.epoch() == 0) {
			return;
		}
		if (message instanceof Message.TargetAlive alive) {
			boolean workerAnswers = alive.heartbeat() != WorkerCommand.SendHeartbeat.WORKER_SILENT;
			if (workerAnswers) {
				feed(new WorkflowEvent.WorkerHeartbeat(target));
			}
			if (this.term.mayDecide()) {
				this.targets.granted(target, alive.heartbeat(), this.term.epoch(),
						workerAnswers ? this.leaseMillis : 0);
			}
		}
		else if (message instanceof Message.WorkerStatus told && this.loaded) {
			feed(new WorkflowEvent.WorkerReported(told.report()));
		}
		else if (message instanceof Message.RunNotStarted refused && this.loaded) {
			feed(new WorkflowEvent.RunRefused(target, refused.task(), refused.run(), refused.reason()));
		}
	}

	private void feed(WorkflowEvent event) {
		handle(event);
		if (!(event instanceof WorkflowEvent.WorkerHeartbeat)) {
			this.pace.requestRound();
			askForPlacement();
		}
	}

	// The round goes behind what waits in the loop already, so that a burst of events is
	// placed once. Where it rests, or the loop is full, the next tick asks again.
	private void askForPlacement() {
		if (!this.placementAsked && deciding() && this.pace.isDue(this.loop.steadyMillis())) {
			this.placementAsked = this.loop.run(this::place);
		}
	}

	private void place() {
		this.placementAsked = false;
		if (!deciding()) {
			return;
		}
		long from = this.loop.steadyMillis();
		handle(new WorkflowEvent.PlacementDue());
		long to = this.loop.steadyMillis();
		this.pace.recordRound(from, to);
		this.telemetry.time(PLACEMENT, Duration.ofMillis(to - from));
	}

	private void handle(WorkflowEvent event) {
		WorkflowScheduler.ClockReading now = new WorkflowScheduler.ClockReading(this.loop.steadyMillis(),
				this.loop.wallMillis());
		List<WorkflowCommand> commands = this.scheduler.handle(now, event);
		commands.forEach(this::carryOut);
	}

	private void carryOut(WorkflowCommand command) {
		if (command instanceof WorkflowCommand.LogDecision explain) {
			LOG.info(explain.event(), explain.keysAndValues().toArray());
		}
		else if (command instanceof WorkflowCommand.Persist keep) {
			this.saving = keep.records();
			this.savingSequence = keep.sequence();
			this.term.save(keep.sequence());
		}
		else if (command instanceof WorkflowCommand.AccountWork work) {
			this.telemetry.count(WORK, work.outcome(), Math.round(work.coreSeconds()));
		}
		else if (command instanceof WorkflowCommand.CountFailure failure) {
			this.telemetry.count(FAILED, failure.failure());
		}
		else if (command instanceof WorkflowCommand.DeleteJobs forget) {
			forget(forget.jobs());
		}
		else if (command instanceof WorkflowCommand.CancellationPersisted kept) {
			List<Consumer<Boolean>> waiting = this.cancels.remove(kept.job());
			if (waiting != null) {
				waiting.forEach((taker) -> taker.accept(true));
			}
		}
		else if (command instanceof WorkflowCommand.StartRun start) {
			this.orders.start(start);
		}
		else if (command instanceof WorkflowCommand.StopRun stop) {
			this.orders.stop(stop);
		}
		else if (command instanceof WorkflowCommand.AcknowledgeEnds ends) {
			this.orders.acknowledge(ends);
		}
	}

	// A job counts as accepted while its row of the intake is there, so that goes first.
	// A holder that is lost in between leaves progress without such a row; the next one
	// removes it when it loads.
	private void forget(List<String> jobs) {
		List<Write> rows = new ArrayList<>();
		for (String job : jobs) {
			rows.add(new Write(Tables.job(job), Optional.empty()));
			if (this.cancelRows.contains(job)) {
				rows.add(new Write(Tables.cancel(job), Optional.empty()));
			}
		}
		remove(rows, () -> forgetProgress(jobs, () -> {
			this.cancelRows.removeAll(jobs);
			feed(new WorkflowEvent.JobsDeleted(jobs));
		}));
	}

	private void forgetProgress(List<String> jobs, Runnable then) {
		remove(jobs.stream().map((job) -> new Write(Tables.progress(job), Optional.empty())).toList(), then);
	}

	// What can't be removed now stays where it is, and is tried again later.
	private void remove(List<Write> rows, Runnable then) {
		remove(List.of(), rows, then);
	}

	private void remove(List<Condition> conditions, List<Write> rows, Runnable then) {
		long epoch = this.loadingEpoch;
		this.loop.then(this.store.commit(conditions, rows, PAGE_TIMEOUT), (ending) -> {
			if (ending instanceof RowStore.Commit.Conflict) {
				LOG.warn("rows-not-removed", "rows", rows.size(), "why", "a row was kept anew meanwhile");
				return;
			}
			if (!(ending instanceof RowStore.Commit.Committed)) {
				LOG.warn("rows-not-removed", "rows", rows.size(), "why", ending);
				return;
			}
			if (this.loadingEpoch == epoch) {
				then.run();
			}
		});
	}

	// Progress is read first: a job is accepted before it has any, so that the later read
	// finds the job of each row. Read the other way round, progress that the next holder
	// keeps meanwhile looks as if its job was forgotten.
	private void load(long epoch) {
		readAll(Tables.PROGRESS, "", new ArrayList<>(), Long.MAX_VALUE, epoch,
				(progress) -> readAll(Tables.INTAKE, "", new ArrayList<>(), Long.MAX_VALUE, epoch, (intake) -> {
					this.intakeVersion = intake.version();
					finishLoading(epoch, intake.rows(), progress.rows());
				}));
	}

	private void finishLoading(long epoch, List<Row> intake, List<Row> progress) {
		Map<String, JobRecord> records = new HashMap<>();
		for (Row row : progress) {
			decode(row, RecordCodec::readProgress).ifPresent((record) -> records.put(record.job(), record));
		}
		Set<String> cancelled = new HashSet<>();
		Map<String, Workflow> jobs = new LinkedHashMap<>();
		for (Row row : intake) {
			if (Tables.isJob(row.place())) {
				decode(row, RecordCodec::readWorkflow).ifPresent((job) -> jobs.put(job.id(), job));
			}
			else {
				cancelled.add(Tables.jobOf(row.place()));
			}
		}
		List<StoredJob> kept = new ArrayList<>();
		for (Workflow job : jobs.values()) {
			kept.add(new StoredJob(job, Optional.ofNullable(records.get(job.id())), cancelled.contains(job.id())));
		}
		LOG.info("term-loaded", "epoch", epoch, "jobs", kept.size(), "cancelled", cancelled.size());
		this.cancelRows.clear();
		this.cancelRows.addAll(cancelled);
		removeOrphans(epoch, intake, progress.stream().filter((row) -> records.containsKey(row.place().key())));
		this.loaded = true;
		feed(new WorkflowEvent.TermBegan(epoch, kept));
		this.targets.announceHolder(epoch);
		lookAtIntake();
	}

	// A job that can't be read here may be read by another version: its progress has to
	// stay, or what is done would be done again. A removal that is carried out late must
	// not hit progress that was kept since.
	private void removeOrphans(long epoch, List<Row> intake, Stream<Row> progress) {
		Set<String> accepted = new HashSet<>();
		intake.forEach((row) -> accepted.add(Tables.jobOf(row.place())));
		List<Row> orphans = progress.filter((row) -> !accepted.contains(row.place().key()))
			.limit(MOST_ORPHANS)
			.toList();
		if (orphans.isEmpty()) {
			return;
		}
		LOG.info("orphans-found", "epoch", epoch, "jobs", orphans.stream().map((row) -> row.place().key()).toList());
		remove(orphans.stream().map((row) -> new Condition(row.place(), row.version())).toList(),
				orphans.stream().map((row) -> new Write(row.place(), Optional.empty())).toList(),
				() -> LOG.info("orphans-removed", "epoch", epoch, "jobs", orphans.size()));
	}

	private void readAll(String table, String from, List<Row> found, long oldest, long epoch,
			Consumer<RowStore.Read.Found> taker) {
		this.loop.then(this.store.read(table, from, PAGE, PAGE_TIMEOUT), (read) -> {
			if (this.loadingEpoch != epoch) {
				return;
			}
			if (!(read instanceof RowStore.Read.Found page)) {
				LOG.warn("load-retried", "table", table, "why", read);
				this.loop.after(RELOAD_MILLIS, () -> readAll(table, from, found, oldest, epoch, taker));
				return;
			}
			found.addAll(page.rows());
			long since = Math.min(oldest, page.version());
			if (page.more() && !page.rows().isEmpty()) {
				String next = page.rows().get(page.rows().size() - 1).place().key() + "\0";
				readAll(table, next, found, since, epoch, taker);
				return;
			}
			taker.accept(new RowStore.Read.Found(found, false, since));
		});
	}

	// An entry that accepted a job tells the holder at once. One that dies in between
	// leaves the job in the store, where it is found here.
	private void lookAtIntake() {
		if (!deciding() || this.intakeAsked) {
			return;
		}
		this.intakeAsked = true;
		long epoch = this.loadingEpoch;
		this.loop.then(this.store.changes(Tables.INTAKE, this.intakeVersion, Duration.ZERO), (changes) -> {
			this.intakeAsked = false;
			if (this.loadingEpoch != epoch || !this.loaded) {
				return;
			}
			if (changes instanceof RowStore.Changes.Found found) {
				found.rows().forEach(this::takeIntake);
				this.intakeVersion = Math.max(this.intakeVersion, found.version());
			}
			else if (changes instanceof RowStore.Changes.Forgotten) {
				readAll(Tables.INTAKE, "", new ArrayList<>(), Long.MAX_VALUE, epoch, (intake) -> {
					intake.rows().forEach(this::takeIntake);
					this.intakeVersion = intake.version();
				});
			}
			else {
				LOG.warn("intake-look-retried", "why", changes);
				this.loop.after(RELOAD_MILLIS, this::lookAtIntake);
			}
		});
	}

	private void takeIntake(Row row) {
		if (row.value().isEmpty()) {
			return;
		}
		String job = Tables.jobOf(row.place());
		if (Tables.isJob(row.place())) {
			decode(row, RecordCodec::readWorkflow).ifPresent(this::accepted);
			return;
		}
		cancelKept(job);
	}

	// Rows read anew come in the order of their keys, a cancel before its job. It has to
	// count once the job is known, or the job would run though its caller was told that
	// it is cancelled.
	private void cancelIfWanted(String job) {
		boolean open = this.scheduler.phase(job).map((phase) -> !phase.isTerminal()).orElse(false);
		if (open && this.cancelRows.contains(job)) {
			feed(new WorkflowEvent.CancelRequested(job));
		}
	}

	private static <T> Optional<T> decode(Row row, Function<String, T> reader) {
		try {
			return row.value().map(reader);
		}
		catch (IllegalArgumentException | InvalidValueException ex) {
			LOG.warn("row-unreadable", "table", row.place().table(), "key", row.place().key(), "why", ex.getMessage());
			return Optional.empty();
		}
	}

}
