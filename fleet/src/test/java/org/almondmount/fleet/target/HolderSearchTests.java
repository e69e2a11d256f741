package org.almondmount.fleet.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HolderSearchTests {

	private static final int ENTRY_COUNT = 15;

	private static final int TARGET_COUNT = 80;

	private final List<String> dialled = new ArrayList<>();

	// Guards against targets that all dial every entry when power returns everywhere at
	// once. Processes then run cold code on slow machines, and each entry is busy with
	// the dials for seconds, in which callers get no answer and the term has no holder.
	@Test
	void targetsThatStartTogetherAreSpreadOverTheEntries() {
		Map<String, Integer> dials = new HashMap<>();
		for (int target = 0; target < TARGET_COUNT; target++) {
			search("target-" + target).dialNextEntries();
		}
		this.dialled.forEach((address) -> dials.merge(address, 1, Integer::sum));
		assertThat(this.dialled).hasSize(2 * TARGET_COUNT);
		assertThat(dials.values()).allMatch((count) -> count < TARGET_COUNT / 2);
	}

	// The entries that were dialled first may be down or disconnected from the holder.
	@Test
	void everyEntryIsDialledEventually() {
		HolderSearch search = search("target");
		for (int round = 0; round < 4 * ENTRY_COUNT; round++) {
			search.dialNextEntries();
		}
		assertThat(this.dialled).doesNotHaveDuplicates().hasSize(ENTRY_COUNT);
	}

	@Test
	void anEntryThatDoesNotAnswerIsReplacedByAnother() {
		HolderSearch search = search("target");
		search.dialNextEntries();
		List<String> first = List.copyOf(this.dialled);
		first.forEach(search::dialFailed);
		search.replaceAddresses(addressesWithout(first));
		search.dialNextEntries();
		assertThat(this.dialled).hasSize(4).doesNotHaveDuplicates();
	}

	// An entry that is not the holder announces the holder, which is dialled without
	// waiting for the next search.
	@Test
	void anAnnouncedHolderIsDialledImmediately() {
		HolderSearch search = search("target");
		search.dialNextEntries();
		search.dial("10.0.0.99:7700");
		assertThat(this.dialled).contains("10.0.0.99:7700");
	}

	private HolderSearch search(String target) {
		HolderSearch search = new HolderSearch(target, this.dialled::add);
		search.addAddresses(addressesWithout(List.of()));
		return search;
	}

	private static List<String> addressesWithout(List<String> excluded) {
		return IntStream.range(0, ENTRY_COUNT)
			.mapToObj((number) -> "10.0.0." + number + ":7700")
			.filter((address) -> !excluded.contains(address))
			.toList();
	}

}
