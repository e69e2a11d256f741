package org.almondmount.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses which connections of callers to close when callers together need more than a
 * process can give them. Stateless.
 * <p>
 * A connection with a complete call that is not answered yet is never chosen: its caller
 * could not tell whether the call ran. The connection that has occupied the most for the
 * longest goes first, so that a caller whose call takes a few milliseconds is closed
 * last. A caller with a valid key may stall longer than a stranger.
 */
public final class EvictionPolicy {

	/**
	 * Time that a caller gets to send its call after connecting, in milliseconds: some
	 * round trips of a distant network.
	 */
	static final long MIN_STALLED_MILLIS = 100;

	private static final Comparator<Candidate<?>> LARGEST_OCCUPANCY_FIRST = Comparator
		.<Candidate<?>>comparingLong((candidate) -> candidate.load().occupancy())
		.reversed();

	private static final Comparator<Candidate<?>> LONGEST_STALL_FIRST = Comparator
		.<Candidate<?>>comparingLong((candidate) -> candidate.load().stall())
		.reversed();

	private EvictionPolicy() {
	}

	/**
	 * Chooses connections whose closing frees memory.
	 * @param <C> the type of the connections
	 * @param candidates the open connections
	 * @param bytes the number of bytes to free
	 * @return the connections to close; they may hold less than requested
	 */
	public static <C> List<C> selectToFree(List<Candidate<C>> candidates, long bytes) {
		List<Candidate<C>> ordered = new ArrayList<>(candidates);
		ordered.removeIf((candidate) -> !candidate.load().isEvictable() || candidate.load().heldBytes() == 0);
		ordered.sort(LARGEST_OCCUPANCY_FIRST);
		List<C> selected = new ArrayList<>();
		long freed = 0;
		for (Candidate<C> candidate : ordered) {
			if (freed >= bytes) {
				break;
			}
			freed += candidate.load().heldBytes();
			selected.add(candidate.connection());
		}
		return selected;
	}

	/**
	 * Chooses connections that make room for new ones.
	 * @param <C> the type of the connections
	 * @param candidates the open connections
	 * @param maxCount the maximum number of connections to choose
	 * @return the connections to close, none if all of them make progress
	 */
	public static <C> List<C> selectForNewcomers(List<Candidate<C>> candidates, int maxCount) {
		return candidates.stream()
			.filter((candidate) -> candidate.load().isEvictable()
					&& candidate.load().stalledMillis() >= MIN_STALLED_MILLIS)
			.sorted(LONGEST_STALL_FIRST)
			.limit(maxCount)
			.map(Candidate::connection)
			.toList();
	}

	/**
	 * A connection and what it occupies.
	 *
	 * @param <C> the type of the connection
	 * @param connection the connection
	 * @param load what it occupies
	 */
	public record Candidate<C>(C connection, ConnectionLoad load) {

	}

}
