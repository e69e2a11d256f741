package org.almondmount.processes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ZoneOutTests {

	private static final String OUT = "{\"intent\":\"zone-out\",\"zone\":\"lulea-a\"}";

	private static final String IN = "{\"intent\":\"zone-in\",\"zone\":\"lulea-a\"}";

	/** The bound in seconds that docs/PROMISES.md gives for the promise. */
	private static final Duration FEW_SECONDS = Duration.ofSeconds(3);

	private Site site;

	@BeforeEach
	void start() {
		this.site = Site.start("zone-out", 2, List.of("lulea-a", "umea-a"));
		this.site.createCustomers();
	}

	@AfterEach
	void stop() {
		this.site.close();
	}

	// The zone is taken out while small jobs keep coming. From a few seconds after the
	// operator heard 'accepted', the worker in the zone starts nothing, though it is
	// free.
	@Test
	void nothingStartsInAZoneThatWasTakenOut() {
		submit(10);
		this.site.await("tasks start in the zone", () -> startsIn(0) > 0);
		assertThat(this.site.confirmed(this.site.entry(1), OUT).status()).isEqualTo(200);
		Instant accepted = Instant.now();
		submitUntil(accepted.plus(FEW_SECONDS));
		int startsSoFar = startsIn(0);
		int elsewhere = startsIn(1);
		submitUntil(accepted.plus(FEW_SECONDS.multipliedBy(2)));
		this.site.await("work goes on in the other zone", () -> startsIn(1) > elsewhere);
		assertThat(startsIn(0)).isEqualTo(startsSoFar);
	}

	// The holder is paused before it can start what it has decided on. Meanwhile the
	// other entry becomes holder and the operator takes the zone out there. When the old
	// holder is resumed it goes on where it was; nothing of that may start in the zone.
	@Test
	void aHolderThatWasPausedOverTheChangeStartsNothingInTheZone() {
		Site.Entry old = holder();
		Site.Entry other = other(old);
		old.process().freeze();
		this.site.await("the other entry takes over", other::isHolder);
		this.site.await("the zone is out", () -> this.site.confirmed(other, OUT).ok());
		int startsSoFar = startsIn(0);
		old.process().resume();
		List<Api.Reply> atOnce = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			atOnce.add(submitTo(old));
		}
		// The entry refuses jobs until it has reached the new holder; a caller comes
		// back.
		atOnce.stream()
			.filter((answer) -> !answer.ok())
			.forEach((refused) -> this.site.await("the resumed entry takes a job after " + refused,
					() -> submitTo(old).ok()));
		this.site.await("jobs run in the other zone; the resumed entry answered " + atOnce, () -> startsIn(1) >= 10);
		assertThat(startsIn(0)).isEqualTo(startsSoFar);
	}

	// The holder can't reach the table. It does not know whether another entry has taken
	// over and the zone is out, so it starts nothing once its lease may have run out.
	@Test
	void aHolderThatIsCutOffFromTheTableStartsNothingWhileTheZoneGoesOut() {
		Site.Entry old = holder();
		Site.Entry other = other(old);
		old.toTable().blackHole();
		this.site.await("the other entry takes over", other::isHolder);
		this.site.await("the zone is out", () -> this.site.confirmed(other, OUT).ok());
		int startsSoFar = startsIn(0);
		for (int i = 0; i < 5; i++) {
			submitTo(other);
		}
		this.site.await("jobs run in the other zone", () -> startsIn(1) >= 3);
		assertThat(startsIn(0)).isEqualTo(startsSoFar);
		old.toTable().heal();
	}

	// A target of the zone is replaced after the zone went out: it announces itself anew
	// with a free worker, and still nothing starts there.
	@Test
	void aTargetThatAnnouncesItselfInTheZoneAfterwardsGetsNothing() {
		assertThat(this.site.confirmed(this.site.entry(0), OUT).status()).isEqualTo(200);
		this.site.target(0).process().kill();
		this.site.target(0).start();
		this.site.await("it is back", () -> workers() == 2);
		int startsSoFar = startsIn(0);
		submit(20);
		this.site.await("jobs run in the other zone", () -> startsIn(1) >= 10);
		assertThat(startsIn(0)).isEqualTo(startsSoFar);
	}

	// Out, in and out again within seconds. What counts is the last: nothing starts after
	// it, and when the zone is back for good, work starts there again.
	@Test
	void aZoneThatFlapsEndsAsLastDeclared() {
		for (String intent : List.of(OUT, IN, OUT)) {
			assertThat(this.site.confirmed(this.site.entry(0), intent).status()).isEqualTo(200);
		}
		Instant accepted = Instant.now();
		submitUntil(accepted.plus(FEW_SECONDS));
		int startsSoFar = startsIn(0);
		submitUntil(accepted.plus(FEW_SECONDS.multipliedBy(2)));
		assertThat(startsIn(0)).isEqualTo(startsSoFar);
		assertThat(this.site.confirmed(this.site.entry(1), IN).status()).isEqualTo(200);
		submit(30);
		this.site.await("work starts in the zone again", () -> startsIn(0) > startsSoFar);
	}

	private Api.Reply submitTo(Site.Entry entry) {
		return entry.as(Site.NORRBOTTEN).post("/v1/jobs", Site.job(1, 1, "any", "sleep 200ms", Map.of()));
	}

	private void submit(int jobs) {
		for (int i = 0; i < jobs; i++) {
			this.site.entry(i % 2).as(Site.NORRBOTTEN).post("/v1/jobs", Site.job(1, 1, "any", "sleep 300ms", Map.of()));
		}
	}

	private void submitUntil(Instant end) {
		while (Instant.now().isBefore(end)) {
			submit(2);
		}
	}

	private int workers() {
		return this.site.entry(0).operator().get("/v1/workers").json().findValuesAsText("worker").size();
	}

	private Site.Entry holder() {
		this.site.await("somebody schedules", () -> this.site.entries().stream().anyMatch(Site.Entry::isHolder));
		return this.site.entry(0).isHolder() ? this.site.entry(0) : this.site.entry(1);
	}

	private Site.Entry other(Site.Entry entry) {
		return (entry == this.site.entry(0)) ? this.site.entry(1) : this.site.entry(0);
	}

	private int startsIn(int target) {
		List<JsonNode> events = new ArrayList<>();
		this.site.target(target).worker().get("/admin/log").json().path("events").forEach(events::add);
		return (int) events.stream().filter((event) -> event.path("event").asText().equals("start")).count();
	}

}
