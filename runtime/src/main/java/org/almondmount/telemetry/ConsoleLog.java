package org.almondmount.telemetry;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/**
 * Logging to standard output that never blocks the caller: lines that do not fit in a
 * bounded queue are dropped.
 * <p>
 * The logging is configured in code because locating, parsing and building a
 * configuration file takes most of the CPU time of a process start. While a process
 * starts its callers get no answer, and leases of processes on the same machine expire.
 */
public final class ConsoleLog {

	private static final String CONSOLE = "stdout";

	/**
	 * Maximum number of lines queued for standard output: some seconds of a busy process.
	 */
	private static final int MAX_QUEUED_LINES = 2_048;

	private ConsoleLog() {
	}

	/**
	 * Installs the configuration. Must be called before any logger is created, because
	 * the first logger would search for a configuration file.
	 */
	public static void install() {
		Configurator.initialize(ConsoleLog.class.getClassLoader(), configuration());
	}

	/**
	 * Returns the configuration.
	 * @return a new configuration that is not started
	 */
	public static Configuration configuration() {
		return new ProgrammaticConfiguration();
	}

	/**
	 * Formats an event as one line that starts with its time, level and part.
	 */
	private static final class LineLayout extends AbstractStringLayout {

		LineLayout() {
			super(StandardCharsets.UTF_8);
		}

		@Override
		public String toSerializable(LogEvent event) {
			String name = event.getLoggerName();
			return new StringBuilder().append("time=")
				.append(event.getTimeMillis())
				.append(" level=")
				.append(event.getLevel().name().toLowerCase(Locale.ROOT))
				.append(" part=")
				.append(name, name.lastIndexOf('.') + 1, name.length())
				.append(' ')
				.append(event.getMessage().getFormattedMessage())
				.append('\n')
				.toString();
		}

	}

	/**
	 * The logging configuration. It uses no plugins, so no plugin scan takes place.
	 */
	private static final class ProgrammaticConfiguration extends AbstractConfiguration {

		ProgrammaticConfiguration() {
			super(null, ConfigurationSource.NULL_SOURCE);
			// A draining process writes its last lines from its own shutdown hook.
			this.isShutdownHookEnabled = false;
		}

		@Override
		public void initialize() {
			doConfigure();
			setState(State.INITIALIZED);
		}

		@Override
		protected void doConfigure() {
			setName("console");
			addAppender(ConsoleAppender.newBuilder()
				.setName(CONSOLE)
				.setLayout(new LineLayout())
				.setConfiguration(this)
				.build());
			Appender bounded = AsyncAppender.newBuilder()
				.setName("bounded")
				.setBlocking(false)
				.setBufferSize(MAX_QUEUED_LINES)
				.setAppenderRefs(new AppenderRef[] { AppenderRef.createAppenderRef(CONSOLE, null, null) })
				.setConfiguration(this)
				.build();
			addAppender(bounded);
			getRootLogger().addAppender(bounded, null, null);
			getRootLogger().setLevel(Level.INFO);
			addLogger("io.netty", new LoggerConfig("io.netty", Level.ERROR, true));
		}

	}

}
