package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.fleet.Loop;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Passes what operators declared from entry to entry. Belongs to the loop's thread.
 * <p>
 * The store may turn away one entry alone. It would go on with an old configuration, and
 * callers would see a queue at one entry and not at the other.
 */
final class DeclaredNews {

	private static final String DECLARED = "declared";

	private static final String VERSION = "version";

	private static final String DELETED = "deleted";

	/** A peer that lags for so long is told; before that its own feed will bring it. */
	private static final long LAG_MILLIS = 400;

	private final DeclaredState declared;

	private final Loop loop;

	DeclaredNews(DeclaredState declared, Loop loop) {
		this.declared = declared;
		this.loop = loop;
	}

	/**
	 * Tells another entry what it does not know.
	 * @param connection the connection to it
	 * @param known the newest version that it knows
	 */
	void tell(PeerConnection connection, long known) {
		boolean settled = this.loop.steadyMillis() - this.declared.changedAtMillis() >= LAG_MILLIS;
		if (known >= this.declared.version() || !settled) {
			return;
		}
		for (Row row : this.declared.newerThan(known)) {
			Map<String, String> headers = row.value().isPresent() ? Map.of(VERSION, Long.toString(row.version()))
					: Map.of(VERSION, Long.toString(row.version()), DELETED, "true");
			connection.send(new Message.Forward(0, "", DECLARED, row.place().key(),
					row.value().orElse("").getBytes(StandardCharsets.UTF_8), headers));
		}
	}

	/**
	 * Takes what another entry tells.
	 * @param call what it said
	 * @return false where it is about something else
	 */
	boolean taken(Message.Forward call) {
		if (!call.method().equals(DECLARED)) {
			return false;
		}
		Optional<String> value = call.headers().containsKey(DELETED) ? Optional.empty()
				: Optional.of(new String(call.body(), StandardCharsets.UTF_8));
		this.declared
			.told(List.of(DeclaredState.row("", call.path(), Long.parseLong(call.headers().get(VERSION)), value)));
		return true;
	}

}
