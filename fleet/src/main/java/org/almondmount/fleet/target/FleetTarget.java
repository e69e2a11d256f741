package org.almondmount.fleet.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.almondmount.fleet.Addresses;
import org.almondmount.fleet.EntryAddresses;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.WorkerCalls;
import org.almondmount.model.InvalidValueException;
import org.almondmount.rows.RowStore;
import org.almondmount.services.util.LimitedLog;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.worker.AnnouncementRefusal;
import org.almondmount.worker.IgnoredReason;
import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;
import org.almondmount.worker.WorkerManager;
import org.almondmount.worker.WorkerPolicy;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerReport;

/**
 * The process beside one worker. Thread-safe.
 */
public final class FleetTarget implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(FleetTarget.class);

	/** Commands that were not executed, by reason. */
	private static final String IGNORED_COMMANDS_METRIC = "orders.ignored";

	/** Announcements that are not used, by reason. */
	private static final String REFUSED_ANNOUNCEMENTS_METRIC = "announcements.refused";

	/** Refused announcements that are logged in a second; the others are counted. */
	private static final int LOGGED_ANNOUNCEMENTS_PER_SECOND = 1;

	/** Workers that ended without notice while they ran tasks. */
	private static final String CRASHED_WORKERS_METRIC = "workers.crashed";

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final long SEARCH_INTERVAL_MILLIS = 300;

	/**
	 * Searches per read of the table of entries while the holder is unknown; each read is
	 * charged.
	 */
	private static final int SEARCHES_PER_READ = 5;

	private static final int MAX_ENTRIES = 500;

	private static final Duration ENTRIES_READ_TIMEOUT = Duration.ofMillis(1_000);

	private final FleetSettings settings;

	private final WorkerCalls worker;

	private final RowStore store;

	private final WireEndpoint wire;

	private final Telemetry telemetry;

	private final EventLoop loop;

	private final PeerInfo self;

	private final WorkerManager manager;

	private final HolderSearch holderSearch;

	private final EntryAddresses entryAddresses;

	private final LimitedLog announcementLog = new LimitedLog(LOG, LOGGED_ANNOUNCEMENTS_PER_SECOND, System::nanoTime);

	private int searchCount;

	/**
	 * Creates a target that does nothing before {@link #start()}.
	 * @param settings the settings
	 * @param worker calls to its worker
	 * @param store the store that lists the entries
	 * @param wire opens connections to entries
	 * @param loop runs all decisions
	 * @param telemetry metrics of the process
	 */
	public FleetTarget(FleetSettings settings, WorkerCalls worker, RowStore store, WireEndpoint wire, EventLoop loop,
			Telemetry telemetry) {
		this.loop = loop;
		this.settings = settings;
		this.worker = worker;
		this.store = store;
		this.wire = wire;
		this.telemetry = telemetry;
		telemetry.declare(IGNORED_COMMANDS_METRIC, IgnoredReason.class);
		telemetry.declare(REFUSED_ANNOUNCEMENTS_METRIC, AnnouncementRefusal.class);
		this.self = new PeerInfo(PeerInfo.Role.TARGET, settings.name(), "", settings.zone(), Optional.empty(), 0,
				loop.wallMillis());
		this.entryAddresses = new EntryAddresses(LOG, telemetry);
		this.holderSearch = new HolderSearch(settings.name(), this::dial);
		this.manager = new WorkerManager(settings.name(), WorkerPolicy.DEFAULT);
	}

	/** Starts the target. */
	public void start() {
		LOG.info("target-started", "target", this.settings.name(), "zone", this.settings.zone());
		this.loop.start();
		this.loop.execute(this::searchHolder);
		this.loop.scheduleRepeatedly(TICK_INTERVAL_MILLIS, () -> process(new WorkerEvent.Tick()));
		this.loop.scheduleRepeatedly(SEARCH_INTERVAL_MILLIS, this::searchHolder);
	}

	/**
	 * Handles a description of the worker. It is used once the worker has confirmed that
	 * it is the described incarnation.
	 * @param description the description
	 * @param announcement sequence number of the announcement within this incarnation of
	 * the worker
	 */
	public void onWorkerDescribed(WorkerDescription description, long announcement) {
		this.loop.execute(() -> process(new WorkerEvent.WorkerAnnounced(description, announcement)));
	}

	/**
	 * Handles the announcement of the worker that it ends now.
	 * @param worker the worker
	 */
	public void onWorkerLeft(String worker) {
		this.loop.execute(() -> process(new WorkerEvent.WorkerLeaving(worker)));
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private void process(WorkerEvent event) {
		List<WorkerCommand> commands = new ArrayList<>(this.manager.handle(this.loop.steadyMillis(), event));
		commands.forEach(this::execute);
	}

	private void execute(WorkerCommand command) {
		if (command instanceof WorkerCommand.Poll poll) {
			this.loop.onCompletion(this.worker.poll(poll), this::process);
		}
		else if (command instanceof WorkerCommand.Start start) {
			LOG.info("start-sent", "task", start.task(), "run", start.run(), "life", start.incarnation(), "epoch",
					start.epoch(), "leaseUntil", start.leaseUntilMillis());
			this.telemetry.count("runs.start");
			this.loop.onCompletion(this.worker.start(start), (ended) -> {
				LOG.info("start-answered", "task", ended.task(), "run", ended.run(), "ending", ended.outcome(), "why",
						ended.reason());
				process(ended);
			});
		}
		else if (command instanceof WorkerCommand.Stop stop) {
			this.telemetry.count("runs.stop");
			LOG.info("stop-sent", "task", stop.task(), "run", stop.run(), "epoch", stop.epoch());
			this.loop.onCompletion(this.worker.stop(stop), this::process);
		}
		else if (command instanceof WorkerCommand.SendHeartbeat heartbeat) {
			send(new Message.TargetAlive(heartbeat.heartbeat()));
		}
		else if (command instanceof WorkerCommand.SendReport report) {
			send(new Message.WorkerStatus(report.report()));
		}
		else if (command instanceof WorkerCommand.SendRunNotStarted refused) {
			LOG.info("run-not-begun", "task", refused.task(), "run", refused.run(), "why", refused.reason());
			send(new Message.RunNotStarted(refused.task(), refused.run(), refused.reason()));
		}
		else if (command instanceof WorkerCommand.IgnoreOrder ignored) {
			this.telemetry.count(IGNORED_COMMANDS_METRIC, ignored.reason());
			LOG.info("order-ignored", "order", ignored.orderKind(), "task", ignored.task(), "run", ignored.run(),
					"epoch", ignored.epoch(), "why", ignored.reason());
		}
		else if (command instanceof WorkerCommand.RefuseAnnouncement refused) {
			this.telemetry.count(REFUSED_ANNOUNCEMENTS_METRIC, refused.reason());
			this.announcementLog.warn("announcement-refused", "life", refused.announced(), "known",
					refused.incarnation(), "why", refused.reason());
		}
		else if (command instanceof WorkerCommand.CountCrash crash) {
			recordCrash(crash);
		}
		else if (command instanceof WorkerCommand.LogDecision decision) {
			LOG.info(decision.event(), decision.keysAndValues());
		}
	}

	private void recordCrash(WorkerCommand.CountCrash crash) {
		this.telemetry.count(CRASHED_WORKERS_METRIC);
		for (WorkerReport.Crashed run : crash.runs()) {
			LOG.warn("worker-crashed-under", "task", run.task(), "run", run.run(), "life", run.incarnation(),
					"ageMillis", run.observedRunMillis(), "runs", crash.runs().size());
		}
	}

	private void send(Message message) {
		this.holderSearch.holder().ifPresent((connection) -> connection.send(message));
	}

	private void searchHolder() {
		if (this.holderSearch.holder().isPresent()) {
			this.searchCount = 0;
			return;
		}
		if (this.searchCount++ % SEARCHES_PER_READ == 0) {
			this.loop.onCompletion(this.store.read(Tables.ENTRIES, "", MAX_ENTRIES, ENTRIES_READ_TIMEOUT),
					this::onEntriesRead);
		}
		this.holderSearch.dialNextEntries();
	}

	private void onEntriesRead(RowStore.Read read) {
		if (read instanceof RowStore.Read.Found found) {
			this.holderSearch.replaceAddresses(this.entryAddresses.read(found.rows()));
			this.holderSearch.dialNextEntries();
		}
	}

	private void dial(String address) {
		try {
			this.wire.dial(Addresses.parse(address), this.self, this.settings.peerSettings(), new Listener())
				.whenComplete((connection, failure) -> {
					if (failure != null) {
						this.loop.execute(() -> this.holderSearch.dialFailed(address));
					}
				});
		}
		catch (InvalidValueException ex) {
			LOG.warn("entry-row-unreadable", "why", ex.getMessage());
			this.holderSearch.dialFailed(address);
		}
	}

	private void onMessage(PeerConnection connection, Message message) {
		if (message instanceof Message.EntryHeartbeat heartbeat) {
			onEntryHeartbeat(connection, heartbeat);
		}
		else if (message instanceof Message.HolderAnnouncement announcement) {
			if (this.holderSearch.holder().isEmpty()) {
				this.holderSearch.dial(announcement.address());
			}
		}
		else if (this.holderSearch.holder().filter((current) -> current == connection).isPresent()) {
			onHolderMessage(message);
		}
	}

	private void onEntryHeartbeat(PeerConnection connection, Message.EntryHeartbeat heartbeat) {
		if (heartbeat.holder()) {
			if (this.holderSearch.onHolderAnnounced(connection, heartbeat.epoch())) {
				LOG.info("holder-found", "entry", connection.peer().name(), "epoch", heartbeat.epoch());
				process(new WorkerEvent.HolderConnected(heartbeat.epoch()));
			}
		}
		else if (this.holderSearch.onNotHolder(connection)) {
			onHolderLost("the holder resigned the term");
		}
	}

	private void onHolderMessage(Message message) {
		if (message instanceof Message.LeaseGranted granted) {
			this.holderSearch.addAddresses(granted.entries());
			process(new WorkerEvent.LeaseGranted(granted.epoch(), granted.heartbeat(), granted.leaseMillis()));
		}
		else if (message instanceof Message.RunStart start) {
			process(new WorkerEvent.StartOrdered(start.epoch(), start.heartbeat(), start.incarnation(), start.task(),
					start.run(), start.program(), start.checkpoint(), start.capacity()));
		}
		else if (message instanceof Message.RunStop stop) {
			process(new WorkerEvent.StopOrdered(stop.epoch(), stop.incarnation(), stop.task(), stop.run()));
		}
		else if (message instanceof Message.EndsRecorded recorded) {
			process(new WorkerEvent.EndsRecorded(recorded.epoch(), recorded.incarnation(), recorded.upTo()));
		}
	}

	private void onDisconnected(PeerConnection connection, CloseReason reason) {
		if (this.holderSearch.onDisconnected(connection)) {
			onHolderLost(reason.externalName());
		}
	}

	private void onHolderLost(String reason) {
		LOG.warn("dependency-lost", "what", "holder", "why", reason);
		process(new WorkerEvent.HolderDisconnected());
		searchHolder();
	}

	/**
	 * Passes the events of connections to the event loop.
	 */
	private final class Listener implements PeerListener {

		@Override
		public void onConnected(PeerConnection connection) {
			FleetTarget.this.loop.execute(() -> FleetTarget.this.holderSearch.onConnected(connection));
		}

		@Override
		public void onMessage(PeerConnection connection, Message message) {
			if (!FleetTarget.this.loop.execute(() -> FleetTarget.this.onMessage(connection, message))) {
				connection.close(CloseReason.LOCAL);
			}
		}

		@Override
		public void onDisconnected(PeerConnection connection, CloseReason reason) {
			FleetTarget.this.loop.execute(() -> FleetTarget.this.onDisconnected(connection, reason));
		}

	}

}
