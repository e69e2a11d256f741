/**
 * Speeds of workers, learnt from the progress of runs, and what they mean for placement.
 */
package org.almondmount.workflow.speed;
