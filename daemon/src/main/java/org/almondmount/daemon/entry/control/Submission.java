package org.almondmount.daemon.entry.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.ClaimRow;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RequestId;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.Write;

/**
 * A job that was submitted and whose acceptance is not yet in the table. Immutable.
 *
 * @param job its identifier
 * @param spec what was submitted
 * @param key the idempotency key, if one was given
 * @param hash a hash of the document, to tell a repeat from another job under the key
 * @param responder the place for the answer
 */
record Submission(JobId job, JobSpec spec, Optional<String> key, String hash, Responder responder) {

	static final int CREATED = 201;

	/**
	 * The document that says that the job is accepted.
	 * @return its fields
	 */
	Map<String, String> document() {
		return Map.of("job", this.job.value());
	}

	Optional<String> claimKey() {
		return this.key.map((text) -> Keys.claim(this.spec.customer(), text));
	}

	List<Condition> conditions(Condition fence) {
		List<Condition> conditions = new ArrayList<>();
		conditions.add(fence);
		conditions.add(new Condition(Keys.job(this.job), 0));
		claimKey().ifPresent((claim) -> conditions.add(new Condition(claim, 0)));
		return conditions;
	}

	// The claim is written with its answer in the job's own transaction: a repeat finds
	// either nothing, and then there is no job, or the answer that names the job.
	List<Write> writes(JobRecord record) {
		List<Write> writes = new ArrayList<>();
		writes.add(new Write(Keys.job(this.job), Optional.of(Json.write(record.row()))));
		claimKey().ifPresent((claim) -> {
			byte[] body = Json.write(document()).getBytes(StandardCharsets.UTF_8);
			ClaimRow row = new ClaimRow(new RequestId(this.job.value()), this.hash, CREATED,
					Map.of("content-type", "application/json"), body);
			writes.add(new Write(claim, Optional.of(Json.write(row))));
		});
		return writes;
	}

}
