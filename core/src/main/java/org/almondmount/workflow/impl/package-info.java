/**
 * The implementation of {@link org.almondmount.workflow.WorkflowScheduler}.
 */
package org.almondmount.workflow.impl;
