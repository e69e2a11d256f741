package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.fleet.EventLoop;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Propagates the declared configuration between entries. Confined to the event loop
 * thread.
 * <p>
 * The store may reject a single entry. That entry would continue with an old
 * configuration, and callers would see a queue at one entry but not at the other.
 */
final class ConfigurationGossip {

	private static final String DECLARED_METHOD = "declared";

	private static final String VERSION_HEADER = "version";

	private static final String DELETED_HEADER = "deleted";

	/**
	 * Changes younger than this are not sent to a peer, since its own feed will deliver
	 * them.
	 */
	private static final long MIN_LAG_MILLIS = 400;

	private final ConfigurationWatcher configurationWatcher;

	private final EventLoop loop;

	ConfigurationGossip(ConfigurationWatcher configurationWatcher, EventLoop loop) {
		this.configurationWatcher = configurationWatcher;
		this.loop = loop;
	}

	/**
	 * Sends the rows that another entry lacks.
	 * @param connection the connection to the entry
	 * @param knownVersion the newest version that the entry has
	 */
	void sendMissing(PeerConnection connection, long knownVersion) {
		boolean settled = this.loop.steadyMillis() - this.configurationWatcher.changedAtMillis() >= MIN_LAG_MILLIS;
		if (knownVersion >= this.configurationWatcher.version() || !settled) {
			return;
		}
		for (Row row : this.configurationWatcher.rowsNewerThan(knownVersion)) {
			Map<String, String> headers = row.value().isPresent() ? Map.of(VERSION_HEADER, Long.toString(row.version()))
					: Map.of(VERSION_HEADER, Long.toString(row.version()), DELETED_HEADER, "true");
			connection.send(new Message.Forward(0, "", DECLARED_METHOD, row.place().key(),
					row.value().orElse("").getBytes(StandardCharsets.UTF_8), headers));
		}
	}

	/**
	 * Handles a message of another entry.
	 * @param call the message
	 * @return false if the message is not about the configuration
	 */
	boolean handle(Message.Forward call) {
		if (!call.method().equals(DECLARED_METHOD)) {
			return false;
		}
		Optional<String> value = call.headers().containsKey(DELETED_HEADER) ? Optional.empty()
				: Optional.of(new String(call.body(), StandardCharsets.UTF_8));
		this.configurationWatcher.addFromPeer(List
			.of(ConfigurationWatcher.row("", call.path(), Long.parseLong(call.headers().get(VERSION_HEADER)), value)));
		return true;
	}

}
