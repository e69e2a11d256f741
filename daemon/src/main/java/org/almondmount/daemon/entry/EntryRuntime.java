package org.almondmount.daemon.entry;

import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.net.IoThreads;
import org.almondmount.services.TableService;
import org.almondmount.telemetry.Telemetry;

/**
 * What an entry runs on. Immutable; its members are thread-safe.
 *
 * @param io the event-loop threads, closed with the entry
 * @param table the platform's table
 * @param telemetry the metrics
 * @param clock the clock
 */
public record EntryRuntime(IoThreads io, TableService table, Telemetry telemetry, MonotonicClock clock) {

}
