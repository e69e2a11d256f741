/**
 * Implementation of the job scheduler: the fleet and its indexes, the waiting jobs, the
 * gangs and their lifecycle, and the reservations for guaranteed shapes.
 */
package org.almondmount.jobs.impl;
