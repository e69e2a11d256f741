package org.almondmount.workflow.impl;

import java.util.Optional;

import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.WorkerIncarnation;

/**
 * One run of a task that may be at work. Mutable; owned by the scheduler.
 */
final class Run {

	private static final int MAX_PERCENT = 100;

	/** Progress from which a speed is taken. */
	private static final int MIN_PROGRESS_PERCENT = 5;

	/** What a run takes of which nothing is known, in milliseconds. */
	private static final long DEFAULT_RUN_TIME_MILLIS = 10_000;

	private static final long NOT_SET = Long.MIN_VALUE;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private final TaskState task;

	private final int number;

	private Worker worker;

	/**
	 * The life of its worker in which it may have begun; its worker may be a later one.
	 */
	private WorkerIncarnation startLife;

	private final long epoch;

	/** Whether it goes on from a checkpoint. */
	private final boolean resumedFromCheckpoint;

	/** The capacity by which its worker was chosen. */
	private final ResourceAmount placementCapacity;

	private State state;

	/** Whether its beginning was seen in this term. */
	private boolean startObserved;

	private boolean stopping;

	private long lastCommandMillis;

	private long startedMillis;

	private long lastReportMillis;

	private long lastProgressMillis;

	private int progressPercent;

	private int firstProgressPercent;

	/** Since when it works: a member of a gang begins once all are there. */
	private long workStartedMillis = NOT_SET;

	/** When its last checkpoint was heard of. */
	private long lastCheckpointMillis = NOT_SET;

	private String lastCheckpoint;

	private Optional<WorkOutcome> lossCause = Optional.empty();

	private Optional<WorkerIncarnation> lostWorkerLife = Optional.empty();

	Run(TaskState task, int number, Worker worker, long epoch, State state) {
		this.task = task;
		this.number = number;
		this.worker = worker;
		this.startLife = worker.life();
		this.epoch = epoch;
		this.state = state;
		this.resumedFromCheckpoint = !task.checkpoint().isEmpty();
		this.lastCheckpoint = task.checkpoint();
		this.placementCapacity = worker.capacity();
	}

	/**
	 * Takes over a run that an earlier term ordered.
	 * @param task the task
	 * @param persisted what is kept of the run
	 * @param worker the latest life of its worker that is known
	 * @return the run
	 */
	static Run inherited(TaskState task, OpenRun persisted, Worker worker) {
		Run run = new Run(task, persisted.number(), worker, persisted.epoch(), State.INHERITED);
		run.startLife = persisted.incarnation();
		if (!persisted.incarnation().equals(worker.life())) {
			run.markWorkerEnded();
		}
		return run;
	}

	TaskState task() {
		return this.task;
	}

	int number() {
		return this.number;
	}

	Worker worker() {
		return this.worker;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Its worker ended. A run that was ordered in this term and not heard of since was
	 * hardly begun: its worker was gone already.
	 */
	void markWorkerEnded() {
		if (this.state == State.RUNNING || this.state == State.INHERITED) {
			this.lostWorkerLife = Optional.of(this.startLife);
		}
	}

	/**
	 * The life with which it may have ended.
	 * @return the life, or empty where it ended otherwise
	 */
	Optional<WorkerIncarnation> lostWorkerLife() {
		return this.lostWorkerLife;
	}

	/**
	 * Moves the run to a later life of its worker, where it may still begin. One that may
	 * have begun before keeps the life that is over: a crash can be told by it.
	 * @param later that life
	 */
	void moveTo(Worker later) {
		markWorkerEnded();
		if (this.lostWorkerLife.isEmpty()) {
			this.startLife = later.life();
		}
		this.worker.remove(this);
		this.worker = later;
		this.state = State.INHERITED;
		later.add(this);
	}

	ResourceAmount allocation() {
		return this.task.step().spec().allocation();
	}

	ResourceAmount placementCapacity() {
		return this.placementCapacity;
	}

	State state() {
		return this.state;
	}

	boolean stopping() {
		return this.stopping;
	}

	/**
	 * From now on the run is to end; a second call changes nothing.
	 * @param cause for what its work is lost
	 */
	void markStopping(WorkOutcome cause) {
		this.stopping = true;
		recordLossCause(cause);
	}

	/**
	 * Takes note of why its work is lost; the first reason counts.
	 * @param cause the reason
	 */
	void recordLossCause(WorkOutcome cause) {
		if (this.lossCause.isEmpty()) {
			this.lossCause = Optional.of(cause);
		}
	}

	Optional<WorkOutcome> lossCause() {
		return this.lossCause;
	}

	long lastCommandMillis() {
		return this.lastCommandMillis;
	}

	void startSent(long now) {
		this.lastCommandMillis = now;
		if (this.state == State.PERSISTING) {
			this.state = State.START_SENT;
		}
	}

	void stopSent(long now) {
		this.lastCommandMillis = now;
	}

	void recordProgress(long now, int progress) {
		if (this.state != State.RUNNING) {
			this.startObserved = this.state == State.START_SENT;
			this.state = State.RUNNING;
			this.startedMillis = now;
			this.lastProgressMillis = now;
			this.firstProgressPercent = progress;
		}
		if (progress != this.progressPercent) {
			this.lastProgressMillis = now;
		}
		this.progressPercent = progress;
		this.lastReportMillis = now;
	}

	/**
	 * All that has to be there for it to work is there.
	 * @param now the steady clock
	 */
	void markWorking(long now) {
		if (this.workStartedMillis == NOT_SET) {
			this.workStartedMillis = now;
		}
	}

	/**
	 * Takes note of its checkpoint.
	 * @param checkpoint the checkpoint, or empty
	 * @param minMillis work that a checkpoint holds at least: the first one that is heard
	 * of may hold any amount
	 */
	void recordCheckpoint(String checkpoint, long minMillis) {
		if (checkpoint.isEmpty() || checkpoint.equals(this.lastCheckpoint)) {
			return;
		}
		long since = Math.max(this.startedMillis, this.lastCheckpointMillis);
		long millis = Math.max(minMillis, this.lastReportMillis - since);
		this.lastCheckpoint = checkpoint;
		this.lastCheckpointMillis = this.lastReportMillis;
		this.task.step().job().addCheckpointedWork(allocation().coreEquivalents() * millis / MILLIS_PER_SECOND);
	}

	/**
	 * For how long it held its room and could not work.
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long waitedMillis(long now) {
		if (!running()) {
			return 0;
		}
		return ((this.workStartedMillis == NOT_SET) ? now : this.workStartedMillis) - this.startedMillis;
	}

	/**
	 * For how long it worked.
	 * @param now the steady clock
	 * @return milliseconds; of a run that an earlier term ordered at least what its
	 * progress tells
	 */
	long workedMillis(long now) {
		if (this.workStartedMillis == NOT_SET) {
			return 0;
		}
		long reportedMillis = this.startObserved ? 0
				: this.task.step().expectedMillis() * this.progressPercent / MAX_PERCENT;
		return Math.max(now - this.workStartedMillis, reportedMillis);
	}

	/**
	 * How much of its work a checkpoint holds.
	 * @param checkpoint its last checkpoint, or empty
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long checkpointedMillis(String checkpoint, long now) {
		if (!checkpoint.isEmpty() && !checkpoint.equals(this.lastCheckpoint)) {
			return workedMillis(now);
		}
		if (this.lastCheckpointMillis == NOT_SET || this.workStartedMillis == NOT_SET) {
			return 0;
		}
		return Math.max(0, workedMillis(now) - (now - this.lastCheckpointMillis));
	}

	/**
	 * For how long it was seen without any progress.
	 * @return milliseconds between the reports of the same percentage
	 */
	long stalledMillis() {
		return this.lastReportMillis - this.lastProgressMillis;
	}

	/**
	 * Whether its own work is done, though it has not ended.
	 * @return whether it is
	 */
	boolean isProgressComplete() {
		return this.progressPercent >= MAX_PERCENT;
	}

	/**
	 * The time that is left: at the speed since it was first seen, or, where too little
	 * was seen, as much of the expected time as its progress leaves. A percent is the
	 * finest step that workers tell, so that a speed from a few of them is off by half.
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long remainingMillis(long now) {
		int progress = this.progressPercent - this.firstProgressPercent;
		if (progress >= MIN_PROGRESS_PERCENT) {
			return (now - this.startedMillis) * (MAX_PERCENT - this.progressPercent) / progress;
		}
		long expected = this.task.step().expectedMillis();
		return ((expected > 0) ? expected : DEFAULT_RUN_TIME_MILLIS) * (MAX_PERCENT - this.progressPercent)
				/ MAX_PERCENT;
	}

	/**
	 * Whether the time since it was first seen is that of the whole task.
	 * @return whether it is
	 */
	boolean isObservedFromStart() {
		return this.startObserved && !this.resumedFromCheckpoint;
	}

	boolean running() {
		return this.state == State.RUNNING;
	}

	long startedMillis() {
		return this.startedMillis;
	}

	int progressPercent() {
		return this.progressPercent;
	}

	OpenRun toRecord() {
		return new OpenRun(this.number, this.worker.target(), this.startLife, this.epoch);
	}

	/**
	 * How much is known of a run.
	 */
	enum State {

		/** Its order waits until the run is kept. */
		PERSISTING,

		/** Its order was sent and nothing was heard of it yet. */
		START_SENT,

		/** An earlier term ordered it; whether it was begun is not known. */
		INHERITED,

		/** Its worker said that it runs. */
		RUNNING

	}

}
