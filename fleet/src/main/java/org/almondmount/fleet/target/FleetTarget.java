package org.almondmount.fleet.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.almondmount.fleet.Addresses;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.Loop;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.WorkerCalls;
import org.almondmount.model.InvalidValueException;
import org.almondmount.rows.RowStore;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.worker.IgnoredReason;
import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;
import org.almondmount.worker.WorkerKeeper;
import org.almondmount.worker.WorkerPolicy;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerReport;

/**
 * The process beside one worker. Thread-safe.
 */
public final class FleetTarget implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(FleetTarget.class);

	/** Orders that were not carried out, by reason. */
	private static final String IGNORED = "orders.ignored";

	/** Workers that ended without notice under what they ran. */
	private static final String CRASHED = "workers.crashed";

	private static final long TICK_MILLIS = 100;

	private static final long SEARCH_MILLIS = 300;

	/**
	 * How often the entries are read while the holder is not known; reads are paid for.
	 */
	private static final int SEARCHES_A_READ = 5;

	private static final int MOST_ENTRIES = 500;

	private static final Duration ENTRIES_TIMEOUT = Duration.ofMillis(1_000);

	private final FleetSettings settings;

	private final WorkerCalls worker;

	private final RowStore store;

	private final WireEndpoint wire;

	private final Telemetry telemetry;

	private final Loop loop;

	private final PeerInfo self;

	private final WorkerKeeper keeper;

	private final HolderSearch search;

	private int searches;

	/**
	 * Makes a target that does nothing before {@link #start()}.
	 * @param settings its settings
	 * @param worker calls to its worker
	 * @param store where entries are found
	 * @param wire opens connections to entries
	 * @param loop where it decides
	 * @param telemetry the process's metrics
	 */
	public FleetTarget(FleetSettings settings, WorkerCalls worker, RowStore store, WireEndpoint wire, Loop loop,
			Telemetry telemetry) {
		this.loop = loop;
		this.settings = settings;
		this.worker = worker;
		this.store = store;
		this.wire = wire;
		this.telemetry = telemetry;
		telemetry.declare(IGNORED, IgnoredReason.class);
		this.self = new PeerInfo(PeerInfo.Role.TARGET, settings.name(), "", settings.zone(), Optional.empty(), 0,
				loop.wallMillis());
		this.search = new HolderSearch(settings.name(), this::dial);
		this.keeper = new WorkerKeeper(settings.name(), WorkerPolicy.DEFAULT);
	}

	/** Begins. */
	public void start() {
		LOG.info("target-started", "target", this.settings.name(), "zone", this.settings.zone());
		this.loop.start();
		this.loop.run(this::searchHolder);
		this.loop.every(TICK_MILLIS, () -> feed(new WorkerEvent.Tick()));
		this.loop.every(SEARCH_MILLIS, this::searchHolder);
	}

	/**
	 * The worker described itself.
	 * @param description what it said
	 * @param announcement counts what this life of the worker announces
	 */
	public void described(WorkerDescription description, long announcement) {
		this.loop.run(() -> feed(new WorkerEvent.Described(description, announcement)));
	}

	/**
	 * The worker said that it ends now.
	 * @param worker the worker
	 */
	public void left(String worker) {
		this.loop.run(() -> feed(new WorkerEvent.Left(worker)));
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private void feed(WorkerEvent event) {
		List<WorkerCommand> commands = new ArrayList<>(this.keeper.handle(this.loop.steadyMillis(), event));
		commands.forEach(this::carryOut);
	}

	private void carryOut(WorkerCommand command) {
		if (command instanceof WorkerCommand.Look look) {
			this.loop.then(this.worker.look(look), this::feed);
		}
		else if (command instanceof WorkerCommand.Start start) {
			LOG.info("start-sent", "task", start.task(), "run", start.run(), "life", start.life(), "epoch",
					start.epoch(), "leaseUntil", start.leaseUntilMillis());
			this.telemetry.count("runs.start");
			this.loop.then(this.worker.start(start), (ended) -> {
				LOG.info("start-answered", "task", ended.task(), "run", ended.run(), "ending", ended.ending(), "why",
						ended.why());
				feed(ended);
			});
		}
		else if (command instanceof WorkerCommand.Stop stop) {
			this.telemetry.count("runs.stop");
			LOG.info("stop-sent", "task", stop.task(), "run", stop.run(), "epoch", stop.epoch());
			this.loop.then(this.worker.stop(stop), this::feed);
		}
		else if (command instanceof WorkerCommand.SendHeartbeat heartbeat) {
			send(new Message.TargetAlive(heartbeat.heartbeat()));
		}
		else if (command instanceof WorkerCommand.SendReport report) {
			send(new Message.WorkerStatus(report.report()));
		}
		else if (command instanceof WorkerCommand.SendNotBegun refused) {
			LOG.info("run-not-begun", "task", refused.task(), "run", refused.run(), "why", refused.why());
			send(new Message.RunNotStarted(refused.task(), refused.run(), refused.why()));
		}
		else if (command instanceof WorkerCommand.IgnoreOrder ignored) {
			this.telemetry.count(IGNORED, ignored.why());
			LOG.info("order-ignored", "order", ignored.order(), "task", ignored.task(), "run", ignored.run(), "epoch",
					ignored.epoch(), "why", ignored.why());
		}
		else if (command instanceof WorkerCommand.CountCrash crash) {
			crashed(crash);
		}
		else if (command instanceof WorkerCommand.Explain explain) {
			LOG.info(explain.event(), explain.keysAndValues());
		}
	}

	private void crashed(WorkerCommand.CountCrash crash) {
		this.telemetry.count(CRASHED);
		for (WorkerReport.Crashed run : crash.runs()) {
			LOG.warn("worker-crashed-under", "task", run.task(), "run", run.run(), "life", run.incarnation(),
					"ageMillis", run.observedRunMillis(), "runs", crash.runs().size());
		}
	}

	private void send(Message message) {
		this.search.holder().ifPresent((connection) -> connection.send(message));
	}

	private void searchHolder() {
		if (this.search.holder().isPresent()) {
			this.searches = 0;
			return;
		}
		if (this.searches++ % SEARCHES_A_READ == 0) {
			this.loop.then(this.store.read(Tables.ENTRIES, "", MOST_ENTRIES, ENTRIES_TIMEOUT), this::read);
		}
		this.search.search();
	}

	private void read(RowStore.Read read) {
		if (read instanceof RowStore.Read.Found found) {
			List<String> addresses = new ArrayList<>();
			found.rows().forEach((row) -> row.value().ifPresent(addresses::add));
			this.search.only(addresses);
			this.search.search();
		}
	}

	private void dial(String address) {
		try {
			this.wire.dial(Addresses.parse(address), this.self, this.settings.peer(), new Listener())
				.whenComplete((connection, failure) -> {
					if (failure != null) {
						this.loop.run(() -> this.search.dialFailed(address));
					}
				});
		}
		catch (InvalidValueException ex) {
			LOG.warn("entry-row-unreadable", "why", ex.getMessage());
		}
	}

	private void received(PeerConnection connection, Message message) {
		if (message instanceof Message.EntryHeartbeat word) {
			holderWord(connection, word);
		}
		else if (message instanceof Message.HolderAnnouncement is) {
			if (this.search.holder().isEmpty()) {
				this.search.dial(is.address());
			}
		}
		else if (this.search.holder().filter((one) -> one == connection).isPresent()) {
			ordered(message);
		}
	}

	private void holderWord(PeerConnection connection, Message.EntryHeartbeat word) {
		if (word.holder()) {
			if (this.search.holds(connection, word.epoch())) {
				LOG.info("holder-found", "entry", connection.peer().name(), "epoch", word.epoch());
				feed(new WorkerEvent.HolderFound(word.epoch()));
			}
		}
		else if (this.search.holdsNot(connection)) {
			holderGone("it gave up the term");
		}
	}

	private void ordered(Message message) {
		if (message instanceof Message.LeaseGranted granted) {
			this.search.learnt(granted.entries());
			feed(new WorkerEvent.Granted(granted.epoch(), granted.heartbeat(), granted.leaseMillis()));
		}
		else if (message instanceof Message.RunStart start) {
			feed(new WorkerEvent.StartOrdered(start.epoch(), start.heartbeat(), start.incarnation(), start.task(),
					start.run(), start.program(), start.checkpoint(), start.capacity()));
		}
		else if (message instanceof Message.RunStop stop) {
			feed(new WorkerEvent.StopOrdered(stop.epoch(), stop.incarnation(), stop.task(), stop.run()));
		}
		else if (message instanceof Message.EndsRecorded kept) {
			feed(new WorkerEvent.EndsKept(kept.epoch(), kept.incarnation(), kept.upTo()));
		}
	}

	private void closed(PeerConnection connection, CloseReason reason) {
		if (this.search.closed(connection)) {
			holderGone(reason.externalName());
		}
	}

	private void holderGone(String why) {
		LOG.warn("dependency-lost", "what", "holder", "why", why);
		feed(new WorkerEvent.HolderGone());
		searchHolder();
	}

	/**
	 * Hands what happens on connections to the loop.
	 */
	private final class Listener implements PeerListener {

		@Override
		public void onConnected(PeerConnection connection) {
			FleetTarget.this.loop.run(() -> FleetTarget.this.search.opened(connection));
		}

		@Override
		public void onMessage(PeerConnection connection, Message message) {
			if (!FleetTarget.this.loop.run(() -> FleetTarget.this.received(connection, message))) {
				connection.close(CloseReason.LOCAL);
			}
		}

		@Override
		public void onDisconnected(PeerConnection connection, CloseReason reason) {
			FleetTarget.this.loop.run(() -> FleetTarget.this.closed(connection, reason));
		}

	}

}
