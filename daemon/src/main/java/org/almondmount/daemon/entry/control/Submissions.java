package org.almondmount.daemon.entry.control;

import java.util.Map;
import java.util.Optional;

import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Rows.ClaimRow;
import org.almondmount.http.HttpAnswer;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.services.TableService;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;

/**
 * Answers those who submitted jobs. Owned by the control duty.
 */
final class Submissions {

	private final TableService table;

	private final Mailbox mailbox;

	private final Answerer answerer;

	Submissions(TableService table, Mailbox mailbox, Answerer answerer) {
		this.table = table;
		this.mailbox = mailbox;
		this.answerer = answerer;
	}

	void accepted(Submission submission) {
		submission.responder().answer(this.answerer.document(Submission.CREATED, submission.document()));
	}

	void refused(Submission submission, Refusal refusal) {
		submission.responder().answer(this.answerer.refusal(refusal));
	}

	void unknown(Submission submission) {
		submission.responder()
			.answer(this.answerer.refusal(Refusal
				.mayHaveRun(RefusalReason.STORE_UNKNOWN,
						"the table has not said whether job " + submission.job() + " was accepted")
				.withRetryAfter(Answerer.COME_BACK), Map.of("job", submission.job().value())));
	}

	/**
	 * The job is certainly not in the table.
	 * @param submission the submission
	 * @param result why not
	 */
	void notStored(Submission submission, CommitResult result) {
		Optional<String> claim = submission.claimKey();
		if (result instanceof CommitResult.Conflict conflict && claim.isPresent()
				&& conflict.key().equals(claim.get())) {
			this.table.read(claim.get()).thenAccept((read) -> this.mailbox.deliver(() -> repeat(submission, read)));
			return;
		}
		if (result instanceof CommitResult.Conflict) {
			submission.responder()
				.answer(this.answerer.comeBack(RefusalReason.NO_SCHEDULER,
						"another entry took the scheduler's lease over"));
			return;
		}
		String why = ((CommitResult.NotCommitted) result).reason();
		submission.responder()
			.answer(this.answerer.comeBack(RefusalReason.STORE_AWAY, "the table did not take the job: " + why));
	}

	private void repeat(Submission submission, ReadResult<Optional<Row>> read) {
		if (!(read instanceof ReadResult.Found<Optional<Row>> rows) || rows.rows().isEmpty()) {
			submission.responder()
				.answer(this.answerer.comeBack(RefusalReason.STORE_AWAY, "the key's row could not be read"));
			return;
		}
		Row row = rows.rows().get();
		ClaimRow claim = Json.readRow(row.key(), row.value(), ClaimRow.class);
		submission.responder().answer(answer(submission, claim));
	}

	private HttpAnswer answer(Submission submission, ClaimRow claim) {
		if (!claim.hash().equals(submission.hash())) {
			return this.answerer.notRun(RefusalReason.KEY_REUSED,
					"the key was used for " + claim.request() + ", which is different");
		}
		if (!claim.answered() || claim.body() == null) {
			return this.answerer.refusal(Refusal.mayHaveRun(RefusalReason.KEY_IN_USE,
					"the key is held by " + claim.request() + ", whose ending is not known"));
		}
		return new HttpAnswer(claim.status(), claim.headers(), claim.body());
	}

}
