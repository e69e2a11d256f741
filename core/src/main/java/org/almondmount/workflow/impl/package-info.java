/**
 * The decisions behind {@link org.almondmount.workflow.WorkflowScheduler}.
 */
package org.almondmount.workflow.impl;
