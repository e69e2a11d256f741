package org.almondmount.services.impl;

import org.almondmount.services.TableOutcome;
import org.almondmount.services.TableRetryReason;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.telemetry.Telemetry;

/**
 * Counters of the table client. Thread-safe.
 */
final class TableMetrics {

	private static final String OUTCOME = "table";

	private static final String RETRIED = "table.retried";

	private static final String SENT = "table.sent";

	private final Telemetry telemetry;

	TableMetrics(Telemetry telemetry) {
		this.telemetry = telemetry;
		telemetry.declare(OUTCOME, TableOutcome.class);
		telemetry.declare(RETRIED, TableRetryReason.class);
	}

	void recordSent() {
		this.telemetry.count(SENT);
	}

	void recordRetry(TableRetryReason reason) {
		this.telemetry.count(RETRIED, reason);
	}

	void recordOutcome(TableOutcome outcome) {
		this.telemetry.count(OUTCOME, outcome);
	}

	void recordOutcome(CommitResult result) {
		if (result instanceof CommitResult.Committed) {
			recordOutcome(TableOutcome.COMMITTED);
		}
		else if (result instanceof CommitResult.Conflict) {
			recordOutcome(TableOutcome.CONFLICT);
		}
		else if (result instanceof CommitResult.NotCommitted) {
			recordOutcome(TableOutcome.NOT_COMMITTED);
		}
		else {
			recordOutcome(TableOutcome.UNKNOWN);
		}
	}

}
