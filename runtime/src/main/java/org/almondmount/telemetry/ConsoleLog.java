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
 * Sends log lines to standard output without ever waiting for it; what does not fit into
 * a bounded queue is dropped.
 * <p>
 * The same can be said in a file, but finding, reading and building that takes most of
 * the processor time of a start, and while a process starts its callers get no answer and
 * leases beside it run out.
 */
public final class ConsoleLog {

	private static final String CONSOLE = "stdout";

	/** Lines that wait for standard output: some seconds of a busy process. */
	private static final int MAX_QUEUED_LINES = 2_048;

	private ConsoleLog() {
	}

	/**
	 * Puts it in force. To be called before any logger is made: the first one would look
	 * for a file.
	 */
	public static void install() {
		Configurator.initialize(ConsoleLog.class.getClassLoader(), configuration());
	}

	static Configuration configuration() {
		return new ProgrammaticConfiguration();
	}

	/**
	 * One line an event, after what is alike in all of them.
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
	 * The configuration. It needs no plugins, so none are looked for.
	 */
	private static final class ProgrammaticConfiguration extends AbstractConfiguration {

		ProgrammaticConfiguration() {
			super(null, ConfigurationSource.NULL_SOURCE);
			// The last lines of a process that drains come from its own hook.
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
