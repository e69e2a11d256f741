package org.almondmount.fleet.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HolderSearchTests {

	private static final int ENTRIES = 15;

	private static final int TARGETS = 80;

	private final List<String> dialled = new ArrayList<>();

	// All power is back, and every process starts with cold code on a slow machine. Each
	// entry was dialled by each target at once; it was busy with that for seconds, in
	// which callers got no answer and the term no holder.
	@Test
	void targetsThatStartTogetherAreSpreadOverTheEntries() {
		Map<String, Integer> dials = new HashMap<>();
		for (int target = 0; target < TARGETS; target++) {
			search("target-" + target).dialNextEntries();
		}
		this.dialled.forEach((address) -> dials.merge(address, 1, Integer::sum));
		assertThat(this.dialled).hasSize(2 * TARGETS);
		assertThat(dials.values()).allMatch((count) -> count < TARGETS / 2);
	}

	// The entries that were dialled first may be gone, or cut off from the holder.
	@Test
	void everyEntryIsDialledInTheEnd() {
		HolderSearch search = search("target");
		for (int turn = 0; turn < 4 * ENTRIES; turn++) {
			search.dialNextEntries();
		}
		assertThat(this.dialled).doesNotHaveDuplicates().hasSize(ENTRIES);
	}

	@Test
	void anEntryThatDoesNotAnswerTheDialMakesRoomForAnother() {
		HolderSearch search = search("target");
		search.dialNextEntries();
		List<String> first = List.copyOf(this.dialled);
		first.forEach(search::dialFailed);
		search.replaceAddresses(others(first));
		search.dialNextEntries();
		assertThat(this.dialled).hasSize(4).doesNotHaveDuplicates();
	}

	// An entry that is not the holder says who is; nothing waits for a turn.
	@Test
	void aHolderThatIsNamedIsDialledAtOnce() {
		HolderSearch search = search("target");
		search.dialNextEntries();
		search.dial("10.0.0.99:7700");
		assertThat(this.dialled).contains("10.0.0.99:7700");
	}

	private HolderSearch search(String target) {
		HolderSearch search = new HolderSearch(target, this.dialled::add);
		search.addAddresses(others(List.of()));
		return search;
	}

	private static List<String> others(List<String> without) {
		return IntStream.range(0, ENTRIES)
			.mapToObj((number) -> "10.0.0." + number + ":7700")
			.filter((address) -> !without.contains(address))
			.toList();
	}

}
