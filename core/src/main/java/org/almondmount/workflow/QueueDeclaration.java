package org.almondmount.workflow;

/**
 * The declaration of a queue in one revision of the configuration. Immutable.
 *
 * @param revision the revision of the configuration
 * @param queue the queue as declared there
 */
public record QueueDeclaration(long revision, JobQueue queue) {
}
