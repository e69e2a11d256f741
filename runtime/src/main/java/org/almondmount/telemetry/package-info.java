/**
 * Structured logging and metrics.
 */
package org.almondmount.telemetry;
