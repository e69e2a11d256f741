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

	private static final int WHOLE = 100;

	/** Progress from which a speed is taken. */
	private static final int LEAST_PERCENT = 5;

	/** What a run takes of which nothing is known, in milliseconds. */
	private static final long UNKNOWN_MILLIS = 10_000;

	private static final long NOT_YET = Long.MIN_VALUE;

	private static final double MILLIS = 1_000.0;

	private final TaskState task;

	private final int number;

	private Worker worker;

	/**
	 * The life of its worker in which it may have begun; its worker may be a later one.
	 */
	private WorkerIncarnation begunIn;

	private final long epoch;

	/** Whether it goes on from a checkpoint. */
	private final boolean resumed;

	/** The capacity by which its worker was chosen. */
	private final ResourceAmount chosenBy;

	private State state;

	/** Whether its beginning was seen in this term. */
	private boolean beginningSeen;

	private boolean stopping;

	private long lastOrderMillis;

	private long startedMillis;

	private long seenMillis;

	private long progressedMillis;

	private int percent;

	private int firstPercent;

	/** Since when it works: a member of a gang begins once all are there. */
	private long atWorkMillis = NOT_YET;

	/** When its last checkpoint was heard of. */
	private long savedAtMillis = NOT_YET;

	private String saved;

	private Optional<WorkOutcome> loss = Optional.empty();

	private Optional<WorkerIncarnation> lostWith = Optional.empty();

	Run(TaskState task, int number, Worker worker, long epoch, State state) {
		this.task = task;
		this.number = number;
		this.worker = worker;
		this.begunIn = worker.life();
		this.epoch = epoch;
		this.state = state;
		this.resumed = !task.checkpoint().isEmpty();
		this.saved = task.checkpoint();
		this.chosenBy = worker.capacity();
	}

	/**
	 * Takes over a run that an earlier term ordered.
	 * @param task the task
	 * @param kept what is kept of the run
	 * @param worker the latest life of its worker that is known
	 * @return the run
	 */
	static Run inherited(TaskState task, OpenRun kept, Worker worker) {
		Run run = new Run(task, kept.number(), worker, kept.epoch(), State.INHERITED);
		run.begunIn = kept.incarnation();
		if (!kept.incarnation().equals(worker.life())) {
			run.workerEnded();
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
	void workerEnded() {
		if (this.state == State.RUNNING || this.state == State.INHERITED) {
			this.lostWith = Optional.of(this.begunIn);
		}
	}

	/**
	 * The life with which it may have ended.
	 * @return the life, or empty where it ended otherwise
	 */
	Optional<WorkerIncarnation> lostWith() {
		return this.lostWith;
	}

	/**
	 * Moves the run to a later life of its worker, where it may still begin. One that may
	 * have begun before keeps the life that is over: a crash can be told by it.
	 * @param later that life
	 */
	void moveTo(Worker later) {
		workerEnded();
		if (this.lostWith.isEmpty()) {
			this.begunIn = later.life();
		}
		this.worker.remove(this);
		this.worker = later;
		this.state = State.INHERITED;
		later.add(this);
	}

	ResourceAmount room() {
		return this.task.step().spec().allocation();
	}

	ResourceAmount chosenBy() {
		return this.chosenBy;
	}

	State state() {
		return this.state;
	}

	boolean stopping() {
		return this.stopping;
	}

	/**
	 * From now on the run is to end; a second call changes nothing.
	 * @param why for what its work is lost
	 */
	void stop(WorkOutcome why) {
		this.stopping = true;
		losesFor(why);
	}

	/**
	 * Takes note of why its work is lost; the first reason counts.
	 * @param why the reason
	 */
	void losesFor(WorkOutcome why) {
		if (this.loss.isEmpty()) {
			this.loss = Optional.of(why);
		}
	}

	Optional<WorkOutcome> loss() {
		return this.loss;
	}

	long lastOrderMillis() {
		return this.lastOrderMillis;
	}

	void ordered(long now) {
		this.lastOrderMillis = now;
		if (this.state == State.KEEPING) {
			this.state = State.ORDERED;
		}
	}

	void stopOrdered(long now) {
		this.lastOrderMillis = now;
	}

	void seenRunning(long now, int progress) {
		if (this.state != State.RUNNING) {
			this.beginningSeen = this.state == State.ORDERED;
			this.state = State.RUNNING;
			this.startedMillis = now;
			this.progressedMillis = now;
			this.firstPercent = progress;
		}
		if (progress != this.percent) {
			this.progressedMillis = now;
		}
		this.percent = progress;
		this.seenMillis = now;
	}

	/**
	 * All that has to be there for it to work is there.
	 * @param now the steady clock
	 */
	void atWork(long now) {
		if (this.atWorkMillis == NOT_YET) {
			this.atWorkMillis = now;
		}
	}

	/**
	 * Takes note of its checkpoint.
	 * @param checkpoint the checkpoint, or empty
	 * @param leastMillis work that a checkpoint holds at least: the first one that is
	 * heard of may hold any amount
	 */
	void seenSaved(String checkpoint, long leastMillis) {
		if (checkpoint.isEmpty() || checkpoint.equals(this.saved)) {
			return;
		}
		long since = Math.max(this.startedMillis, this.savedAtMillis);
		long millis = Math.max(leastMillis, this.seenMillis - since);
		this.saved = checkpoint;
		this.savedAtMillis = this.seenMillis;
		this.task.step().job().saved(room().coreEquivalents() * millis / MILLIS);
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
		return ((this.atWorkMillis == NOT_YET) ? now : this.atWorkMillis) - this.startedMillis;
	}

	/**
	 * For how long it worked.
	 * @param now the steady clock
	 * @return milliseconds; of a run that an earlier term ordered at least what its
	 * progress tells
	 */
	long workedMillis(long now) {
		if (this.atWorkMillis == NOT_YET) {
			return 0;
		}
		long told = this.beginningSeen ? 0 : this.task.step().expectedMillis() * this.percent / WHOLE;
		return Math.max(now - this.atWorkMillis, told);
	}

	/**
	 * How much of its work a checkpoint holds.
	 * @param checkpoint its last checkpoint, or empty
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long savedMillis(String checkpoint, long now) {
		if (!checkpoint.isEmpty() && !checkpoint.equals(this.saved)) {
			return workedMillis(now);
		}
		if (this.savedAtMillis == NOT_YET || this.atWorkMillis == NOT_YET) {
			return 0;
		}
		return Math.max(0, workedMillis(now) - (now - this.savedAtMillis));
	}

	/**
	 * For how long it was seen without any progress.
	 * @return milliseconds between the reports of the same percentage
	 */
	long stillMillis() {
		return this.seenMillis - this.progressedMillis;
	}

	/**
	 * Whether its own work is done, though it has not ended.
	 * @return whether it is
	 */
	boolean atItsEnd() {
		return this.percent >= WHOLE;
	}

	/**
	 * The time that is left: at the speed since it was first seen, or, where too little
	 * was seen, as much of the expected time as its progress leaves. A percent is the
	 * finest step that workers tell, so that a speed from a few of them is off by half.
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long leftMillis(long now) {
		int made = this.percent - this.firstPercent;
		if (made >= LEAST_PERCENT) {
			return (now - this.startedMillis) * (WHOLE - this.percent) / made;
		}
		long expected = this.task.step().expectedMillis();
		return ((expected > 0) ? expected : UNKNOWN_MILLIS) * (WHOLE - this.percent) / WHOLE;
	}

	/**
	 * Whether the time since it was first seen is that of the whole task.
	 * @return whether it is
	 */
	boolean seenWhole() {
		return this.beginningSeen && !this.resumed;
	}

	boolean running() {
		return this.state == State.RUNNING;
	}

	long startedMillis() {
		return this.startedMillis;
	}

	int percent() {
		return this.percent;
	}

	OpenRun toRecord() {
		return new OpenRun(this.number, this.worker.target(), this.begunIn, this.epoch);
	}

	/**
	 * How much is known of a run.
	 */
	enum State {

		/** Its order waits until the run is kept. */
		KEEPING,

		/** Its order was sent and nothing was heard of it yet. */
		ORDERED,

		/** An earlier term ordered it; whether it was begun is not known. */
		INHERITED,

		/** Its worker said that it runs. */
		RUNNING

	}

}
