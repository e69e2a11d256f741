package org.almondmount.daemon.entry.control;

import java.util.Optional;
import java.util.function.Supplier;

import org.almondmount.daemon.entry.shell.Alarm;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.StoreWriter;
import org.almondmount.jobs.JobEvent;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.jobs.JobSchedulerFactory;
import org.almondmount.model.Configuration;
import org.almondmount.model.EntryId;
import org.almondmount.telemetry.EventLog;

/**
 * Begins a term when this entry becomes the holder of the scheduler's lease and ends it
 * when it is not. Owned by the control duty.
 */
final class Scheduling implements LeaseDriver.Listener, TermKeeper.Listener {

	private static final EventLog LOG = EventLog.of(Scheduling.class);

	private static final int JOB_TRANSACTIONS_PER_SECOND = 80;

	private static final int PLAN_TRANSACTIONS_PER_SECOND = 20;

	private final EntryContext context;

	private final Mailbox control;

	private final Mailbox store;

	private final Parts parts;

	private final TermKeeper reader;

	private final HistoryLog history = new HistoryLog();

	private long currentEpoch;

	private long startsFrom;

	private Optional<SchedulerTerm> term = Optional.empty();

	Scheduling(EntryContext context, Mailbox control, Mailbox store, Parts parts) {
		this.context = context;
		this.control = control;
		this.store = store;
		this.parts = parts;
		this.reader = new TermKeeper(context, control);
	}

	/**
	 * The term, once this entry is holder and has read what it took over.
	 * @return the term, or empty
	 */
	Optional<SchedulerTerm> term() {
		return this.term;
	}

	HistoryLog history() {
		return this.history;
	}

	@Override
	public void becameHolder(long epoch) {
		this.currentEpoch = epoch;
		this.parts.holder.heard(this.context.self(), epoch, this.context.peerAddress());
		this.reader.read(epoch, this);
	}

	@Override
	public void steppedDown(long epoch) {
		this.currentEpoch = 0;
		this.parts.holder.gone(this.context.self());
		this.term.ifPresent(SchedulerTerm::close);
		this.term = Optional.empty();
	}

	@Override
	public void holderSeen(EntryId holder, long epoch, String address) {
		this.parts.holder.heard(holder, epoch, address);
	}

	@Override
	public boolean isCurrent(long epoch) {
		return this.currentEpoch == epoch;
	}

	@Override
	public void inherited(long epoch, TermKeeper.Inheritance inheritance) {
		inheritance.history().forEach(this.history::add);
		this.parts.configuration.pushed(inheritance.configuration());
		SchedulerTerm begun = begin(epoch, inheritance);
		JobDriver driver = begun.driver();
		// A scheduler that is told nothing places at once; members that are then not
		// prepared would count against their workers until these are quarantined.
		driver.feed(new JobEvent.StartsAllowed(false));
		this.parts.configuration.current().ifPresent((now) -> driver.feed(new JobEvent.ConfigurationChanged(now)));
		for (JobRecord job : inheritance.jobs()) {
			begun.store().recover(job);
		}
		for (JobRecord job : inheritance.jobs()) {
			if (!job.isEnded()) {
				driver.recover(job);
			}
		}
		this.parts.peers.workers().forEach((worker) -> driver.feed(new JobEvent.WorkerJoined(worker)));
		this.term = Optional.of(begun);
		this.startsFrom = this.context.clock().millis() + this.context.settings().timing().heartbeat().toMillis();
		this.history.add("epoch " + epoch, "Entry " + this.context.self() + " schedules from now on, with "
				+ inheritance.jobs().size() + " jobs taken over.", "scheduler");
		LOG.info("scheduling", "epoch", epoch, "jobs", inheritance.jobs().size(), "workers",
				this.parts.peers.workers().size());
	}

	/**
	 * A configuration is in force.
	 * @param configuration the configuration
	 */
	void configurationChanged(Configuration configuration) {
		this.term.ifPresent((now) -> now.driver().feed(new JobEvent.ConfigurationChanged(configuration)));
	}

	void tick() {
		this.term.ifPresent((now) -> now.tick(this.context.clock().millis(), mayStart()));
	}

	/**
	 * For how much longer the view of zones may be used to start work. Only the holder
	 * changes zones, so what it knows is true for as long as its lease is valid and no
	 * change is open.
	 * @return milliseconds, 0 if it may not be used
	 */
	long zonesFreshForMillis() {
		if (this.term.isEmpty() || this.term.get().plans().holdsStarts()) {
			return 0;
		}
		long fresh = this.context.settings().timing().zoneFreshness().toMillis();
		return Math.min(fresh, this.parts.lease.get().remainingMillis());
	}

	// Targets refuse to start anything until a reply to a heartbeat has told them of a
	// fresh view. A gang started in the first moments of a term would be refused and
	// pause, so the first starts wait until every target has had its heartbeat answered.
	private boolean mayStart() {
		return this.context.clock().millis() >= this.startsFrom && zonesFreshForMillis() > 0;
	}

	private SchedulerTerm begin(long epoch, TermKeeper.Inheritance inheritance) {
		JobScheduler scheduler = JobSchedulerFactory.create();
		Alarm alarm = new Alarm(this.context.timer(), this.context.clock(), this.control, this::wake);
		JobDriver.Term term = new JobDriver.Term(this.context.clock(), this.parts.peers::send,
				() -> this.parts.lease.get().mayAct(), this::mayStart, alarm::at, this.history);
		JobStore jobs = new JobStore(inheritance.fence(), writer("jobs" + epoch, JOB_TRANSACTIONS_PER_SECOND),
				this.control, term, new Submissions(this.context.table(), this.control, this.parts.answerer));
		JobDriver driver = new JobDriver(epoch, scheduler, term, jobs);
		PlanDesk plans = new PlanDesk(this.context, this.control,
				new PlanDesk.Parts(epoch, inheritance.fence(), scheduler, this.parts.configuration,
						writer("plans" + epoch, PLAN_TRANSACTIONS_PER_SECOND), this.parts.answerer, this.history,
						() -> driver.startsAllowed(mayStart())));
		SchedulerTerm begun = new SchedulerTerm(epoch, driver, jobs, plans, this.parts.answerer);
		jobs.connect(driver::feed, begun::ended);
		return begun;
	}

	private StoreWriter writer(String name, int transactionsPerSecond) {
		return new StoreWriter(this.context.table(), this.store, this.context.clock(), this.context.timer(),
				this.context.telemetry(), this.context.self() + "." + name, 1, transactionsPerSecond);
	}

	private void wake() {
		this.term.ifPresent((now) -> now.driver().feed(new JobEvent.Tick()));
	}

	/**
	 * What scheduling works with.
	 *
	 * @param lease the lease's driver, known once everything is connected
	 * @param configuration the configuration in force
	 * @param peers the connections
	 * @param holder who holds the lease
	 * @param answerer makes answers
	 */
	record Parts(Supplier<LeaseDriver> lease, ConfigurationDriver configuration, Peers peers, HolderView holder,
			Answerer answerer) {
	}

}
