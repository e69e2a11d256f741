package org.almondmount.services.util;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.almondmount.telemetry.ConsoleLog;
import org.almondmount.telemetry.EventLog;
import org.apache.logging.log4j.core.LoggerContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

class LimitedLogTests {

	private final PrintStream console = System.out;

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final LoggerContext context = LoggerContext.getContext(false);

	private final AtomicLong nanos = new AtomicLong();

	@AfterEach
	void restoreOutput() {
		this.context.reconfigure();
		System.setOut(this.console);
	}

	// Guards against a log that strangers fill.
	@Test
	void linesAboveTheLimitAreCountedInTheNextLine() {
		System.setOut(new PrintStream(this.output, true));
		this.context.start(ConsoleLog.configuration());
		LimitedLog log = new LimitedLog(EventLog.named("Limited"), 1, this.nanos::get);
		for (int i = 1; i <= 3; i++) {
			log.warn("odd", "number", i);
		}
		this.nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
		log.warn("odd", "number", 4);
		await().until(() -> this.output.toString(StandardCharsets.UTF_8).contains("number=4"));
		assertThat(this.output.toString(StandardCharsets.UTF_8).replaceAll("time=\\d+ ", ""))
			.isEqualTo("level=warn part=Limited event=odd number=1 unlogged=0\n"
					+ "level=warn part=Limited event=odd number=4 unlogged=2\n");
	}

}
