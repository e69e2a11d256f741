package org.almondmount.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HolderLossTests {

	private Site site;

	private Site.Entry old;

	private Site.Entry other;

	@BeforeEach
	void start() {
		this.site = Site.start("holder-loss", 2, List.of("lulea-a", "umea-a"));
		this.site.createCustomers();
		this.site.await("somebody schedules", () -> this.site.entry(0).isHolder() || this.site.entry(1).isHolder());
		this.old = this.site.entry(0).isHolder() ? this.site.entry(0) : this.site.entry(1);
		this.other = (this.old == this.site.entry(0)) ? this.site.entry(1) : this.site.entry(0);
		awaitThatOtherReachesTheHolder();
	}

	@AfterEach
	void stop() {
		this.site.close();
	}

	// The holder's VM fails while a gang runs and others wait. The gang goes on, because
	// the other entry hears all its members; the waiting jobs are placed by the new
	// holder. Nothing that a caller was told is accepted is lost.
	@Test
	void aDeadHoldersJobsGoOnUnderTheNextOne() {
		String running = submit(this.old, Site.job(2, 4, "worker", "sleep 12s", Map.of()));
		this.site.await("the gang runs", () -> phase(this.other, running).equals("running"));
		List<String> accepted = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			accepted.add(submit(this.old, Site.job(1, 2, "any", "sleep 500ms", Map.of())));
		}
		this.old.process().kill();
		this.site.await("the other entry schedules", () -> this.other.operator().get("/v1/workers").status() == 200);
		this.site.await("every accepted job succeeds",
				() -> accepted.stream().allMatch((job) -> ending(this.other, job).equals("succeeded")));
		this.site.await("the gang succeeds", () -> ending(this.other, running).equals("succeeded"));
		assertThat(this.other.operator().get("/v1/jobs/" + running).json().path("attempt").asInt()).isEqualTo(1);
	}

	// The holder is frozen with jobs in every step of their start, and resumed after the
	// other entry has taken over and placed them again. What the old holder still sends
	// is of an older epoch: no member of one job runs in two attempts at once.
	@Test
	void aFrozenHolderThatComesBackStartsNothingTwice() {
		List<String> jobs = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			jobs.add(submit(this.old, Site.job(2, 2, "worker", "sleep 1s", Map.of())));
		}
		this.old.process().freeze();
		this.site.await("the other entry schedules", () -> this.other.operator().get("/v1/workers").status() == 200);
		this.old.process().resume();
		this.site.await("every job succeeds",
				() -> jobs.stream().allMatch((job) -> ending(this.other, job).equals("succeeded")));
		assertThat(membersInTwoAttemptsAtOnce()).isEmpty();
	}

	// Both entries are killed together. Running work is not touched for the gang timeout;
	// once an entry is back it schedules, and every job that was accepted ends.
	@Test
	void afterBothEntriesWereKilledTogetherEveryAcceptedJobStillEnds() {
		List<String> jobs = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			jobs.add(submit(this.other, Site.job(1, 2, "any", "sleep 1s", Map.of())));
		}
		this.old.process().kill();
		this.other.process().kill();
		this.old.start();
		this.other.start();
		this.site.await("an entry is back", this.other::isReady);
		this.site.await("every job succeeds",
				() -> jobs.stream().allMatch((job) -> ending(this.other, job).equals("succeeded")));
	}

	// A job that may not be repeated runs when the holder dies. The next holder can't
	// know more than that it may have run; whatever its ending, it is never started
	// twice.
	@Test
	void aJobThatMayNotBeRepeatedIsStartedAtMostOnce() {
		List<String> jobs = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			jobs.add(submit(this.old, Site.job(1, 2, "any", "sleep 2s", Map.of())
				.replace("\"repeatable\":true", "\"repeatable\":false")));
		}
		this.old.process().kill();
		this.site.await("every job has an ending",
				() -> jobs.stream().allMatch((job) -> !ending(this.other, job).isEmpty()));
		Map<String, Integer> starts = new HashMap<>();
		for (JsonNode event : this.site.taskEvents()) {
			if (event.path("event").asText().equals("start")) {
				starts.merge(event.path("job").asText(), 1, Integer::sum);
			}
		}
		assertThat(starts.values()).allMatch((count) -> count <= 1);
	}

	// Guards against callers that an entry loses before it has found the holder: it
	// refuses
	// with the time to come back, and takes their jobs as soon as it has.
	@Test
	void anEntryThatHasNotReachedTheHolderRefusesAndSaysWhenToComeBack() {
		this.old.door().partition();
		this.other.door().partition();
		this.other.process().kill();
		this.other.start();
		this.site.await("the entry is back", this.other::isReady);
		String job = Site.job(1, 2, "any", "sleep 1s", Map.of());
		Api.Reply refused = this.other.as(Site.NORRBOTTEN).post("/v1/jobs", job);
		assertThat(refused.status()).as(refused.body()).isEqualTo(503);
		assertThat(refused.text("kind")).isEqualTo("no-scheduler");
		assertThat(refused.text("ran")).isEqualTo("not-run");
		assertThat(refused.headers()).containsKey("retry-after");
		this.old.door().heal();
		this.other.door().heal();
		awaitThatOtherReachesTheHolder();
		String accepted = submit(this.other, job);
		this.site.await("the job succeeds", () -> ending(this.other, accepted).equals("succeeded"));
	}

	private void awaitThatOtherReachesTheHolder() {
		this.site.await("the other entry reaches the holder",
				() -> this.other.operator().get("/v1/workers").status() == 200);
	}

	// A checker that knows only what the workers' stand-ins saw.
	private Set<String> membersInTwoAttemptsAtOnce() {
		List<JsonNode> events = this.site.taskEvents();
		events.sort((one, two) -> Long.compare(one.path("atMillis").asLong(), two.path("atMillis").asLong()));
		Map<String, Set<Integer>> running = new HashMap<>();
		Set<String> twice = new HashSet<>();
		for (JsonNode event : events) {
			String member = event.path("job").asText() + "/" + event.path("member").asText();
			Set<Integer> attempts = running.computeIfAbsent(member, (key) -> new HashSet<>());
			if (event.path("event").asText().equals("start")) {
				attempts.add(event.path("attempt").asInt());
				if (attempts.size() > 1) {
					twice.add(member);
				}
			}
			else if (event.path("event").asText().equals("end")) {
				attempts.remove(event.path("attempt").asInt());
			}
		}
		return twice;
	}

	private static String submit(Site.Entry entry, String document) {
		Api.Reply accepted = entry.as(Site.NORRBOTTEN).post("/v1/jobs", document);
		assertThat(accepted.status()).as(accepted.body()).isEqualTo(201);
		return accepted.text("job");
	}

	private static String phase(Site.Entry entry, String job) {
		return entry.operator().get("/v1/jobs/" + job).text("phase");
	}

	private static String ending(Site.Entry entry, String job) {
		return entry.operator().get("/v1/jobs/" + job).text("ending");
	}

}
