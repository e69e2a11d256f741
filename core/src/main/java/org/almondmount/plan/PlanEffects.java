package org.almondmount.plan;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.JobId;
import org.almondmount.model.Refusal;

/**
 * The effects of confirming an intent now.
 *
 * @param refusal the refusal if the intent cannot be accepted at all, otherwise empty
 * @param moves jobs that would be checkpointed and placed elsewhere
 * @param stops jobs that would be stopped and not placed elsewhere for now
 * @param guaranteesAtRisk a sentence for each guaranteed shape that could not be
 * reclaimed in the meantime
 * @param remarks further remarks for the operator
 */
public record PlanEffects(Optional<Refusal> refusal, List<JobId> moves, List<JobId> stops,
		List<String> guaranteesAtRisk, List<String> remarks) {

	public PlanEffects {
		moves = List.copyOf(moves);
		stops = List.copyOf(stops);
		guaranteesAtRisk = List.copyOf(guaranteesAtRisk);
		remarks = List.copyOf(remarks);
	}

}
