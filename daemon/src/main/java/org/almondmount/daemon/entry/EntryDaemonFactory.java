package org.almondmount.daemon.entry;

import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.http.HttpClient;
import org.almondmount.http.impl.NettyHttpClient;
import org.almondmount.net.IoThreads;
import org.almondmount.services.TableOptions;
import org.almondmount.services.TableService;
import org.almondmount.services.impl.HttpTableService;
import org.almondmount.settings.EntrySettings;
import org.almondmount.telemetry.Telemetry;

/**
 * Makes entries that run on the network and on the platform's services.
 */
public final class EntryDaemonFactory {

	private static final int IO_THREADS = 2;

	private static final int TABLE_CONNECTIONS = 32;

	private static final int LARGEST_TABLE_ANSWER = 64 << 20;

	private EntryDaemonFactory() {
	}

	/**
	 * Makes an entry; {@link EntryDaemon#start()} begins it.
	 * @param settings its settings
	 * @return the entry
	 */
	public static EntryDaemon create(EntrySettings settings) {
		Telemetry telemetry = new Telemetry();
		IoThreads io = new IoThreads("entry-io", IO_THREADS);
		HttpClient client = new NettyHttpClient(io, TABLE_CONNECTIONS, LARGEST_TABLE_ANSWER);
		TableService table = new HttpTableService(client, io, settings.table(), TableOptions.DEFAULT, telemetry);
		return new EntryDaemon(settings, new EntryRuntime(io, table, telemetry, MonotonicClock.system()));
	}

}
