package org.almondmount.daemon.entry.control;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.almondmount.configuration.ConfigurationCommand;
import org.almondmount.configuration.ConfigurationEvent;
import org.almondmount.configuration.ConfigurationManager;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.ConfigurationRow;
import org.almondmount.model.Configuration;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.telemetry.EventLog;

/**
 * Fetches the configuration and tells those who need it. Owned by the control duty.
 */
final class ConfigurationDriver {

	private static final EventLog LOG = EventLog.of(ConfigurationDriver.class);

	private final EntryContext context;

	private final Mailbox mailbox;

	private final ConfigurationManager keeper;

	private final Consumer<Configuration> inForce;

	private final BiConsumer<String, Long> askPeer;

	private boolean storeAnswers = true;

	ConfigurationDriver(EntryContext context, Mailbox mailbox, Consumer<Configuration> inForce,
			BiConsumer<String, Long> askPeer) {
		this.context = context;
		this.mailbox = mailbox;
		this.inForce = inForce;
		this.askPeer = askPeer;
		this.keeper = new ConfigurationManager(context.settings().timing().configurationPoll().toMillis());
	}

	Optional<Configuration> current() {
		return this.keeper.current();
	}

	long revision() {
		return this.keeper.revision();
	}

	boolean storeAnswers() {
		return this.storeAnswers;
	}

	void tick() {
		feed(new ConfigurationEvent.Tick());
	}

	void pushed(Configuration configuration) {
		feed(new ConfigurationEvent.ReceivedFromPeer(configuration));
	}

	void revisionSeen(long revision, String peer) {
		feed(new ConfigurationEvent.PeerRevisionReceived(revision, peer));
	}

	private void feed(ConfigurationEvent event) {
		this.keeper.handle(this.context.clock().millis(), event).forEach(this::carryOut);
	}

	private void carryOut(ConfigurationCommand command) {
		if (command instanceof ConfigurationCommand.Apply now) {
			LOG.info("configuration-in-force", "revision", now.configuration().revision());
			this.inForce.accept(now.configuration());
		}
		else if (command instanceof ConfigurationCommand.RequestFromPeer ask) {
			this.askPeer.accept(ask.peer(), ask.ownRevision());
		}
		else {
			this.context.table()
				.read(Keys.configuration(this.context.settings().region()))
				.thenAccept((read) -> this.mailbox.deliver(() -> found(read)));
		}
	}

	private void found(ReadResult<Optional<Row>> read) {
		if (!(read instanceof ReadResult.Found<Optional<Row>> rows)) {
			storeSeen(false, ((ReadResult.Unavailable<Optional<Row>>) read).reason());
			feed(new ConfigurationEvent.ReadFailed());
			return;
		}
		storeSeen(true, "");
		try {
			feed(new ConfigurationEvent.RowRead(read(rows.rows())));
		}
		catch (DocumentException ex) {
			LOG.fault("configuration-row-unreadable", ex);
			feed(new ConfigurationEvent.ReadFailed());
		}
	}

	static Configuration read(Optional<Row> row) {
		return row.map((found) -> Json.readRow(found.key(), found.value(), ConfigurationRow.class).configuration())
			.orElse(Configuration.EMPTY);
	}

	// One line when the table goes and one when it is back: a line for each poll would
	// bury everything else in a long outage.
	private void storeSeen(boolean answers, String why) {
		if (answers == this.storeAnswers) {
			return;
		}
		this.storeAnswers = answers;
		if (answers) {
			LOG.info("store-back");
		}
		else {
			LOG.warn("store-away", "why", why, "configuration",
					(current().isPresent()) ? "revision " + revision() : "none, so that nothing is served");
		}
	}

}
