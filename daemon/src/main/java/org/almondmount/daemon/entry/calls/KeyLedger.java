package org.almondmount.daemon.entry.calls;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.ClaimRow;
import org.almondmount.daemon.entry.store.StoreOperation;
import org.almondmount.daemon.entry.store.StoreWriter;
import org.almondmount.model.RequestId;
import org.almondmount.requests.RequestEvent.KeyClaimOutcome;
import org.almondmount.services.TableService;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.services.TableService.Write;
import org.almondmount.telemetry.EventLog;

/**
 * The claims of idempotency keys in the table. Owned by the requests' duty.
 * <p>
 * A claim is a row that is written on the condition that it is not there, so of two
 * requests with one key, through whichever entries, one gets it. The outcome is written
 * over the claim. A claim whose request certainly did not run is removed again.
 */
final class KeyLedger {

	private static final EventLog LOG = EventLog.of(KeyLedger.class);

	private static final int MOST_TRIES = 3;

	private static final long CLAIMED_VERSION = 1;

	private static final int LARGEST_KEPT_BODY = 256 << 10;

	private final TableService table;

	private final StoreWriter writer;

	private final Mailbox mailbox;

	private final Map<RequestId, Claim> claims = new HashMap<>();

	KeyLedger(TableService table, StoreWriter writer, Mailbox mailbox) {
		this.table = table;
		this.writer = writer;
		this.mailbox = mailbox;
	}

	/**
	 * Claims a request's key.
	 * @param call the request
	 * @param deadlineMillis when nobody waits for the decision any more
	 * @param decided told once, on the requests' duty
	 */
	void claim(LiveCall call, long deadlineMillis, Consumer<KeyClaimOutcome> decided) {
		String rowKey = Keys.claim(call.customer(), call.key().orElseThrow());
		Claim claim = new Claim(call.request(), rowKey, call.spec().contentHash(), deadlineMillis, decided);
		this.claims.put(call.request(), claim);
		write(claim);
	}

	/**
	 * The answer of the key's first request, after
	 * {@link KeyClaimOutcome#ANSWERED_BEFORE}.
	 * @param request the repeat
	 * @return the row with the answer
	 */
	Optional<ClaimRow> recorded(RequestId request) {
		return Optional.ofNullable(this.claims.get(request)).map((claim) -> claim.recorded);
	}

	/**
	 * Records a request's answer over its claim.
	 * @param request the request
	 * @param row the answer
	 * @param then run on the requests' duty once the answer is recorded, or once it is
	 * known that it can't be
	 */
	void record(RequestId request, Outcome row, Runnable then) {
		Claim claim = this.claims.get(request);
		if (claim == null || !claim.held) {
			then.run();
			return;
		}
		boolean kept = row.body().length <= LARGEST_KEPT_BODY;
		ClaimRow answered = new ClaimRow(request, claim.hash, row.status(), row.headers(), kept ? row.body() : null);
		Answering answering = new Answering(claim, then);
		this.writer.submit(new StoreOperation(List.of(new Condition(claim.rowKey, CLAIMED_VERSION)),
				List.of(new Write(claim.rowKey, Optional.of(Json.write(answered)))), row.giveUpAtMillis(),
				(result) -> this.mailbox.deliver(() -> answering.ended(result))));
	}

	/**
	 * Removes the claim: the request did not run and never will.
	 * @param request the request
	 */
	void release(RequestId request) {
		Claim claim = this.claims.get(request);
		if (claim == null) {
			return;
		}
		claim.abandoned = true;
		if (claim.held) {
			delete(claim);
		}
	}

	/**
	 * The request has its ending; what is still open about its claim is cleared up.
	 * @param request the request
	 */
	void ended(RequestId request) {
		Claim claim = this.claims.remove(request);
		if (claim != null && !claim.told) {
			claim.told = true;
			claim.abandoned = true;
		}
	}

	private void write(Claim claim) {
		claim.tries++;
		ClaimRow row = new ClaimRow(claim.request, claim.hash, 0, Map.of(), null);
		this.writer.submit(new StoreOperation(List.of(new Condition(claim.rowKey, 0)),
				List.of(new Write(claim.rowKey, Optional.of(Json.write(row)))), claim.deadlineMillis,
				(result) -> this.mailbox.deliver(() -> written(claim, result))));
	}

	private void written(Claim claim, CommitResult result) {
		if (result instanceof CommitResult.Committed) {
			held(claim);
		}
		else if (result instanceof CommitResult.Conflict) {
			this.table.read(claim.rowKey).thenAccept((read) -> this.mailbox.deliver(() -> found(claim, read)));
		}
		else if (result instanceof CommitResult.NotCommitted) {
			claim.tell(KeyClaimOutcome.STORE_AWAY);
		}
		else {
			claim.abandoned = true;
			claim.tell(KeyClaimOutcome.UNKNOWN);
		}
	}

	// A claim that settles after its request was refused would answer every repeat with
	// "in use" for good; nothing was sent for it, so it is removed.
	private void held(Claim claim) {
		claim.held = true;
		if (claim.abandoned) {
			delete(claim);
			return;
		}
		claim.tell(KeyClaimOutcome.CLAIMED);
	}

	private void found(Claim claim, ReadResult<Optional<Row>> read) {
		if (!(read instanceof ReadResult.Found<Optional<Row>> rows)) {
			// The conflict has shown that somebody holds the key, so that its work may
			// have run; only by whom can't be read.
			claim.tell(KeyClaimOutcome.HELD_BY_OTHER);
			return;
		}
		if (rows.rows().isEmpty()) {
			if (claim.tries < MOST_TRIES && !claim.abandoned) {
				write(claim);
				return;
			}
			claim.tell(KeyClaimOutcome.STORE_AWAY);
			return;
		}
		ClaimRow row = Json.readRow(claim.rowKey, rows.rows().get().value(), ClaimRow.class);
		if (row.request().equals(claim.request)) {
			held(claim);
			return;
		}
		claim.tell(decide(claim, row));
	}

	private static KeyClaimOutcome decide(Claim claim, ClaimRow row) {
		if (!row.hash().equals(claim.hash)) {
			return KeyClaimOutcome.DIFFERENT_CONTENT;
		}
		if (!row.answered()) {
			return KeyClaimOutcome.HELD_BY_OTHER;
		}
		claim.recorded = row;
		return KeyClaimOutcome.ANSWERED_BEFORE;
	}

	// Sent again until the table takes it: a claim that stays behind would refuse every
	// repeat.
	private void delete(Claim claim) {
		claim.held = false;
		this.writer.submit(new StoreOperation(List.of(new Condition(claim.rowKey, CLAIMED_VERSION)),
				List.of(new Write(claim.rowKey, Optional.empty())), StoreOperation.NEVER, (result) -> {
					if (!(result instanceof CommitResult.Committed)) {
						LOG.warn("claim-left", "key", claim.rowKey, "request", claim.request, "result", result);
					}
				}));
	}

	/**
	 * What is recorded of an answer.
	 *
	 * @param status the status code
	 * @param headers the headers
	 * @param body the whole body
	 * @param giveUpAtMillis until when the caller's answer waits for the record
	 */
	record Outcome(int status, Map<String, String> headers, byte[] body, long giveUpAtMillis) {
	}

	private static final class Claim {

		private final RequestId request;

		private final String rowKey;

		private final String hash;

		private final long deadlineMillis;

		private final Consumer<KeyClaimOutcome> decided;

		private int tries;

		private boolean told;

		private boolean held;

		private boolean abandoned;

		private ClaimRow recorded;

		Claim(RequestId request, String rowKey, String hash, long deadlineMillis, Consumer<KeyClaimOutcome> decided) {
			this.request = request;
			this.rowKey = rowKey;
			this.hash = hash;
			this.deadlineMillis = deadlineMillis;
			this.decided = decided;
		}

		void tell(KeyClaimOutcome decision) {
			if (!this.told) {
				this.told = true;
				this.decided.accept(decision);
			}
		}

	}

	/**
	 * An answer that waits for its record.
	 */
	private static final class Answering {

		private final Claim claim;

		private Runnable then;

		Answering(Claim claim, Runnable then) {
			this.claim = claim;
			this.then = then;
		}

		// The instance has done the work: the caller gets its answer also when it can't
		// be recorded. The claim stays, so that a repeat hears that it may have run.
		void ended(CommitResult result) {
			if (!(result instanceof CommitResult.Committed)) {
				LOG.warn("outcome-not-recorded", "request", this.claim.request, "key", this.claim.rowKey, "result",
						result);
			}
			Runnable once = this.then;
			this.then = null;
			if (once != null) {
				once.run();
			}
		}

	}

}
