package org.almondmount.services.impl;

import org.almondmount.services.TableOutcome;
import org.almondmount.services.TableRetry;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.telemetry.Telemetry;

/**
 * What is counted about the table. Thread-safe.
 */
final class TableMetrics {

	private static final String OUTCOME = "table";

	private static final String RETRIED = "table.retried";

	private static final String SENT = "table.sent";

	private final Telemetry telemetry;

	TableMetrics(Telemetry telemetry) {
		this.telemetry = telemetry;
		telemetry.declare(OUTCOME, TableOutcome.class);
		telemetry.declare(RETRIED, TableRetry.class);
	}

	void sent() {
		this.telemetry.count(SENT);
	}

	void retried(TableRetry reason) {
		this.telemetry.count(RETRIED, reason);
	}

	void ended(TableOutcome outcome) {
		this.telemetry.count(OUTCOME, outcome);
	}

	void ended(CommitResult result) {
		if (result instanceof CommitResult.Committed) {
			ended(TableOutcome.COMMITTED);
		}
		else if (result instanceof CommitResult.Conflict) {
			ended(TableOutcome.CONFLICT);
		}
		else if (result instanceof CommitResult.NotCommitted) {
			ended(TableOutcome.NOT_COMMITTED);
		}
		else {
			ended(TableOutcome.UNKNOWN);
		}
	}

}
