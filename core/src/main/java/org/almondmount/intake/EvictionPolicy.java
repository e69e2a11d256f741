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

	private static final Comparator<Candidate<?>> LARGEST_OCCUPANCY_FIRST = Comparator
		.<Candidate<?>>comparingLong((candidate) -> candidate.load().occupancy())
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
	 * A connection and what it occupies.
	 *
	 * @param <C> the type of the connection
	 * @param connection the connection
	 * @param load what it occupies
	 */
	public record Candidate<C>(C connection, ConnectionLoad load) {

	}

}
