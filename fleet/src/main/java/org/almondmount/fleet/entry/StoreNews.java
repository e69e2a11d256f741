package org.almondmount.fleet.entry;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.Message;

/**
 * Passes from entry to entry whether the store answers, and remembers what each said.
 * Mutable; belongs to the loop's thread.
 * <p>
 * A job that is sent to a silent store can no longer be refused. Entries that learnt of
 * the silence only by their own writes would each lose a caller, so one that hears of it
 * asks the store first, with a read. And the store may turn away some entries, the holder
 * among them, and serve the others: a job that is passed on to an entry that is turned
 * away too has lost its time.
 */
final class StoreNews {

	private static final EventLog LOG = EventLog.of(StoreNews.class);

	private static final String ANSWERS = "store-answers";

	private static final String SILENT = "store-silent";

	/**
	 * How much later the others are told of a silence, in milliseconds. A store that is
	 * only slow has answered by then, and entries that ask before they write would be
	 * twice as slow.
	 */
	private static final long SURELY_SILENT_MILLIS = 800;

	private final PeerLinks peers;

	private final StorePatience patience;

	private final Loop loop;

	private final Runnable ask;

	/** Entries whose last word was that the store is silent. */
	private final Set<String> silent = new HashSet<>();

	/** Entries that were answered since this one was not. */
	private final Set<String> answered = new HashSet<>();

	/**
	 * Makes news that tell of silences from now on.
	 * @param peers the other entries
	 * @param patience knows whether the store answers this entry
	 * @param loop the thread
	 * @param ask asks the store whether it answers
	 */
	StoreNews(PeerLinks peers, StorePatience patience, Loop loop, Runnable ask) {
		this.peers = peers;
		this.patience = patience;
		this.loop = loop;
		this.ask = ask;
		patience.whenSilent(this::silentHere);
	}

	/** The store, which was silent, answers this entry again. */
	void answersHere() {
		tell(ANSWERS);
	}

	/**
	 * Takes what another entry tells.
	 * @param address the entry's address
	 * @param call what it said
	 * @return false where it is about something else
	 */
	boolean taken(String address, Message.Forward call) {
		if (call.method().equals(ANSWERS)) {
			this.silent.remove(address);
			this.answered.add(address);
			this.ask.run();
			return true;
		}
		if (call.method().equals(SILENT)) {
			LOG.info("store-silent-elsewhere", "entry", address, "expectedHere", this.patience.expectsSilence());
			this.silent.add(address);
			this.answered.remove(address);
			this.patience.doubt();
			this.ask.run();
			return true;
		}
		return false;
	}

	/**
	 * Forgets what an entry said: it may have been started anew.
	 * @param address the entry's address
	 */
	void connected(String address) {
		this.silent.remove(address);
		this.answered.remove(address);
	}

	/**
	 * An entry that may reach the store.
	 * @param eligible which entries may be asked
	 * @return one that was answered since this one was not, or else one of which nothing
	 * speaks against it
	 */
	Optional<String> mayReachStore(Predicate<String> eligible) {
		return first(eligible.and(this.answered::contains))
			.or(() -> first(eligible.and((address) -> !this.silent.contains(address))));
	}

	private Optional<String> first(Predicate<String> wanted) {
		return this.peers.others().stream().filter(wanted).findFirst();
	}

	private void silentHere() {
		this.answered.clear();
		this.loop.after(SURELY_SILENT_MILLIS, () -> {
			if (this.patience.expectsSilence()) {
				tell(SILENT);
			}
		});
	}

	private void tell(String news) {
		this.peers.broadcast(new Message.Forward(0, "", news, "", new byte[0], Map.of()));
	}

}
