package org.almondmount.standins.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.almondmount.services.TableOptions;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.services.TableService.Transaction;
import org.almondmount.services.TableService.Write;
import org.almondmount.services.impl.HttpTableService;
import org.almondmount.telemetry.Telemetry;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The table's client against the table's stand-in.
 */
class TableServiceTests {

	private static final TableOptions OPTIONS = new TableOptions(Duration.ofMillis(300), 3, Duration.ofMillis(5), 500,
			500);

	private static final TableOptions ONE_ATTEMPT = new TableOptions(Duration.ofMillis(100), 1, Duration.ofMillis(5), 3,
			3);

	private final StandInFixture fixture = new StandInFixture();

	private final Telemetry telemetry = new Telemetry();

	private InetSocketAddress table;

	private HttpTableService service;

	@BeforeEach
	void start() {
		this.table = this.fixture.serve(new TableRole(this.fixture.faults, this.fixture.events));
		this.service = service(OPTIONS);
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void aTransactionWritesAllItsRowsOrNone() {
		assertThat(commit("t1", "a", 0, "one")).isEqualTo(new CommitResult.Committed());
		assertThat(commit("t2", "a", 0, "two")).isEqualTo(new CommitResult.Conflict("a", 1));
		assertThat(commit("t3", "a", 1, "three")).isEqualTo(new CommitResult.Committed());
		assertThat(row("a")).contains(new Row("a", 2, "three"));
		assertThat(row("b")).isEmpty();
	}

	@Test
	void rowsAreScannedInTheOrderOfTheirKeys() {
		commit("t1", "jobs/2", 0, "two");
		commit("t2", "jobs/1", 0, "one");
		commit("t3", "jots/1", 0, "else");
		assertThat(this.service.scan("jobs/").join())
			.isEqualTo(new ReadResult.Found<>(List.of(new Row("jobs/1", 1, "one"), new Row("jobs/2", 1, "two"))));
	}

	@Test
	void anAnswerLostAfterTheEffectIsSettledAsCommittedWithoutASecondEffect() {
		// The table commits and its answer is lost. The caller hears 'committed': the
		// repeat conflicts on the transaction's own token, whose row tells how the first
		// one ended.
		this.fixture.set(Fault.LOSE_ANSWERS, 1);
		assertThat(commit("t1", "a", 0, "one")).isEqualTo(new CommitResult.Committed());
		assertThat(row("a")).contains(new Row("a", 1, "one"));
		assertThat(count("table.retried.answer-lost")).isEqualTo(1);
	}

	@Test
	void aCallLostBeforeItsEffectIsSentAgain() {
		this.fixture.set(Fault.LOSE_CALLS, 1);
		assertThat(commit("t1", "a", 0, "one")).isEqualTo(new CommitResult.Committed());
		assertThat(row("a")).contains(new Row("a", 1, "one"));
	}

	@Test
	void aRepeatThatConflictsOnARowWhichTheFirstOneWroteIsCommitted() {
		// The first copy takes effect and writes row a; its answer is lost. The repeat's
		// condition on a no longer holds, yet the caller must not hear 'conflict'.
		this.fixture.set(Fault.LOSE_ANSWERS, 1);
		commit("t1", "a", 0, "one");
		assertThat(this.fixture.eventCount("conflict")).isEqualTo(1);
	}

	@Test
	void aTableThatRefusesMeansNotCommitted() {
		this.fixture.set(Fault.REFUSE, 1);
		assertThat(commit("t1", "a", 0, "one")).isInstanceOf(CommitResult.NotCommitted.class);
		assertThat(this.service.read("a").join()).isInstanceOf(ReadResult.Unavailable.class);
		assertThat(count("table.retried.away")).isEqualTo(4);
	}

	@Test
	void aSilentTableMeansUnknownAndSettlingLaterMakesItCertain() {
		// No answer at all: nobody can tell. Once the table is back, settling writes the
		// token's row as cancelled, so that the transaction never takes effect.
		this.fixture.set(Fault.SILENT, 1);
		assertThat(commit("t1", "a", 0, "one")).isInstanceOf(CommitResult.Unknown.class);
		assertThat(this.service.resolve("t1").join()).isInstanceOf(CommitResult.Unknown.class);
		this.fixture.set(Fault.SILENT, 0);
		assertThat(this.service.resolve("t1").join()).isInstanceOf(CommitResult.NotCommitted.class);
		assertThat(this.service.resolve("t1").join()).isInstanceOf(CommitResult.NotCommitted.class);
		assertThat(commit("t1", "a", 0, "one")).isInstanceOf(CommitResult.NotCommitted.class);
		assertThat(row("a")).isEmpty();
	}

	@Test
	void settlingATransactionThatTookEffectSaysCommitted() {
		this.service = service(ONE_ATTEMPT);
		this.fixture.set(Fault.LOSE_ANSWERS, 1);
		assertThat(commit("t1", "a", 0, "one")).isInstanceOf(CommitResult.Unknown.class);
		assertThat(this.service.resolve("t1").join()).isEqualTo(new CommitResult.Committed());
	}

	@Test
	void aLateOriginalNeverTakesEffectAfterItWasSettled() {
		// The original is stuck on its way. The caller settles it and hears 'not
		// committed'; then the original arrives. The token's row makes it conflict.
		this.service = service(ONE_ATTEMPT);
		this.fixture.set(Fault.DELAY_MILLIS, 600);
		assertThat(commit("t1", "a", 0, "one")).isInstanceOf(CommitResult.Unknown.class);
		this.fixture.set(Fault.DELAY_MILLIS, 0);
		assertThat(this.service.resolve("t1").join()).isInstanceOf(CommitResult.NotCommitted.class);
		Awaitility.await().until(() -> this.fixture.eventCount("conflict") == 1);
		assertThat(row("a")).isEmpty();
	}

	@Test
	void theTablesRateRefusesAndNothingIsWritten() {
		this.fixture.set(Fault.WRITES_PER_SECOND, 1);
		this.service = service(ONE_ATTEMPT);
		assertThat(commit("t1", "a", 0, "one")).isEqualTo(new CommitResult.Committed());
		assertThat(commit("t2", "b", 0, "two")).isInstanceOf(CommitResult.NotCommitted.class);
	}

	@Test
	void ownRateBoundRefusesBeforeAnythingIsSent() {
		this.service = service(ONE_ATTEMPT);
		for (int i = 0; i < 3; i++) {
			commit("t" + i, "a" + i, 0, "one");
		}
		assertThat(commit("t4", "b", 0, "two")).isInstanceOf(CommitResult.NotCommitted.class);
		assertThat(this.fixture.eventCount("commit")).isEqualTo(3);
		assertThat(count("table.over-rate")).isEqualTo(1);
	}

	private HttpTableService service(TableOptions options) {
		return new HttpTableService(this.fixture.client, this.fixture.clientThread, this.table, options,
				this.telemetry);
	}

	private CommitResult commit(String token, String key, long version, String value) {
		return this.service
			.commit(new Transaction(token, List.of(new Condition(key, version)),
					List.of(new Write(key, Optional.of(value)))))
			.join();
	}

	private Optional<Row> row(String key) {
		ReadResult<Optional<Row>> result = this.service.read(key).join();
		assertThat(result).isInstanceOf(ReadResult.Found.class);
		return ((ReadResult.Found<Optional<Row>>) result).rows();
	}

	private long count(String counter) {
		return this.telemetry.registry().counter(counter).getCount();
	}

}
