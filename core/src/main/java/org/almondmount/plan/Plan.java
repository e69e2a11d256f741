package org.almondmount.plan;

/**
 * An intent with its effects, waiting for confirmation.
 *
 * @param id the identifier used to confirm it
 * @param intent the requested change
 * @param againstRevision the revision of the configuration that it was computed against;
 * confirming it against another revision is refused
 * @param effects the effects of the change
 */
public record Plan(String id, Intent intent, long againstRevision, PlanEffects effects) {

}
