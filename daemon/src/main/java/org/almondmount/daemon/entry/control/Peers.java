package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.model.EntryId;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * The connections to targets and entries. Owned by the control duty.
 * <p>
 * Two entries can dial each other at the same moment. Both connections are kept: were
 * each side to close the one that it takes for the older, none could be left.
 */
final class Peers {

	private final Map<WorkerId, Target> targets = new LinkedHashMap<>();

	private final Map<WorkerId, Long> absentSince = new HashMap<>();

	private final Map<EntryId, List<PeerConnection>> entries = new LinkedHashMap<>();

	/**
	 * A target connected.
	 * @param connection its connection
	 * @return the worker beside it, or empty if the target has none
	 */
	Optional<WorkerInfo> targetOpened(PeerConnection connection) {
		Optional<WorkerInfo> worker = connection.peer().worker();
		worker.ifPresent((info) -> {
			this.targets.put(info.id(), new Target(connection, info));
			this.absentSince.remove(info.id());
		});
		return worker;
	}

	/**
	 * A target's connection is gone.
	 * @param now the time
	 * @param connection its connection
	 * @return the worker, unless it has a newer connection already
	 */
	Optional<WorkerId> targetClosed(long now, PeerConnection connection) {
		Optional<WorkerId> worker = workerOf(connection);
		worker.ifPresent((id) -> {
			this.targets.remove(id);
			this.absentSince.put(id, now);
		});
		return worker;
	}

	/**
	 * The worker whose current connection this is.
	 * @param connection a target's connection
	 * @return the worker, or empty for a connection that was replaced
	 */
	Optional<WorkerId> workerOf(PeerConnection connection) {
		Optional<WorkerId> id = connection.peer().worker().map(WorkerInfo::id);
		return id.filter((each) -> this.targets.containsKey(each) && this.targets.get(each).connection == connection);
	}

	/**
	 * The workers that have been away for longer than a time; each is told once.
	 * @param now the time
	 * @param longerThanMillis the time
	 * @return the workers
	 */
	List<WorkerId> lost(long now, long longerThanMillis) {
		List<WorkerId> lost = new ArrayList<>();
		this.absentSince.forEach((worker, since) -> {
			if (now - since >= longerThanMillis) {
				lost.add(worker);
			}
		});
		lost.forEach(this.absentSince::remove);
		return lost;
	}

	boolean send(WorkerId worker, Message message) {
		Target target = this.targets.get(worker);
		return target != null && target.connection.send(message);
	}

	List<WorkerInfo> workers() {
		List<WorkerInfo> workers = new ArrayList<>();
		this.targets.values().forEach((target) -> workers.add(target.worker));
		return workers;
	}

	Map<ZoneId, Integer> workersByZone() {
		Map<ZoneId, Integer> counts = new HashMap<>();
		this.targets.values().forEach((target) -> counts.merge(target.worker.zone(), 1, Integer::sum));
		return counts;
	}

	void leaving(WorkerId worker) {
		Target target = this.targets.get(worker);
		if (target != null) {
			target.leaving = true;
		}
	}

	boolean isLeaving(WorkerId worker) {
		Target target = this.targets.get(worker);
		return target != null && target.leaving;
	}

	void entryOpened(PeerConnection connection) {
		this.entries.computeIfAbsent(entryOf(connection), (id) -> new ArrayList<>()).add(connection);
	}

	/**
	 * An entry's connection is gone.
	 * @param connection its connection
	 * @return whether it was the last to that entry
	 */
	boolean entryClosed(PeerConnection connection) {
		EntryId entry = entryOf(connection);
		List<PeerConnection> open = this.entries.get(entry);
		if (open == null || !open.remove(connection)) {
			return false;
		}
		if (open.isEmpty()) {
			this.entries.remove(entry);
			return true;
		}
		return false;
	}

	/**
	 * The newest connection to an entry.
	 * @param entry the entry
	 * @return the connection, or empty if there is none
	 */
	Optional<PeerConnection> entry(EntryId entry) {
		List<PeerConnection> open = this.entries.get(entry);
		return (open != null) ? Optional.of(open.get(open.size() - 1)) : Optional.empty();
	}

	/**
	 * The newest connection to a process.
	 * @param name its name
	 * @return the connection, or empty if there is none
	 */
	Optional<PeerConnection> named(String name) {
		Target target = this.targets.get(new WorkerId(name));
		return (target != null) ? Optional.of(target.connection) : entry(new EntryId(name));
	}

	void toEntries(Message message) {
		this.entries.values().forEach((open) -> open.forEach((connection) -> connection.send(message)));
	}

	void toTargets(Message message) {
		this.targets.values().forEach((target) -> target.connection.send(message));
	}

	void closeAll() {
		List<PeerConnection> open = new ArrayList<>();
		this.targets.values().forEach((target) -> open.add(target.connection));
		this.entries.values().forEach(open::addAll);
		open.forEach((connection) -> connection.close(CloseReason.LOCAL));
	}

	static EntryId entryOf(PeerConnection connection) {
		return new EntryId(connection.peer().name());
	}

	private static final class Target {

		private final PeerConnection connection;

		private final WorkerInfo worker;

		private boolean leaving;

		Target(PeerConnection connection, WorkerInfo worker) {
			this.connection = connection;
			this.worker = worker;
		}

	}

}
