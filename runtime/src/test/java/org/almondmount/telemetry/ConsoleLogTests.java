package org.almondmount.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.Configuration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

class ConsoleLogTests {

	private final PrintStream console = System.out;

	private final LoggerContext context = new LoggerContext("test");

	@AfterEach
	void restoreOutput() {
		this.context.stop();
		System.setOut(this.console);
	}

	@Test
	void anEventIsOneLineWithItsTimeLevelAndPart() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		System.setOut(new PrintStream(output, true));
		this.context.start(ConsoleLog.configuration());
		this.context.getLogger("org.almondmount.fleet.entry.TermDriver").warn("event=term-ended epoch=3");
		await().until(() -> output.size() > 0);
		assertThat(output.toString(StandardCharsets.UTF_8))
			.matches("time=\\d{13} level=warn part=TermDriver event=term-ended epoch=3\n");
	}

	// EventLog takes its loggers from the context of the process, not from a test's own.
	@Test
	void aNamedLogWritesItsNameAsThePart() {
		ByteArrayOutputStream seen = new ByteArrayOutputStream();
		System.setOut(new PrintStream(seen, true));
		LoggerContext ofProcess = LoggerContext.getContext(false);
		ofProcess.start(ConsoleLog.configuration());
		try {
			EventLog.named("FrontDesk").warn("job-not-accepted", "job", "j-1");
			await().until(() -> seen.size() > 0);
			assertThat(seen.toString(StandardCharsets.UTF_8))
				.matches("time=\\d{13} level=warn part=FrontDesk event=job-not-accepted job=j-1\n");
		}
		finally {
			ofProcess.reconfigure();
		}
	}

	@Test
	void debugEventsAndLibraryWarningsAreDisabled() {
		this.context.start(ConsoleLog.configuration());
		assertThat(this.context.getLogger("io.netty.channel").isWarnEnabled()).isFalse();
		assertThat(this.context.getLogger("org.almondmount").isDebugEnabled()).isFalse();
		assertThat(this.context.getLogger("org.almondmount").isInfoEnabled()).isTrue();
	}

	// If the reader of standard output stalls, blocking log calls would stop the process
	// from making decisions and answering its callers.
	@Test
	void loggingDoesNotBlockWhenOutputIsNotRead() {
		Configuration configuration = ConsoleLog.configuration();
		this.context.start(configuration);
		assertThat(configuration.getRootLogger().getAppenders().values()).singleElement()
			.isInstanceOfSatisfying(AsyncAppender.class, (bounded) -> {
				assertThat(bounded.isBlocking()).isFalse();
				assertThat(bounded.getQueueCapacity()).isLessThanOrEqualTo(2_048);
			});
	}

}
