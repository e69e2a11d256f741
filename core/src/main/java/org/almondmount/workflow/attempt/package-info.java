/**
 * Decisions about where the retries of a failed job may be placed. A worker that fails
 * whatever it starts looks free and attracts one attempt after the other, until the job
 * has none left. No I/O.
 */
package org.almondmount.workflow.attempt;
