package org.almondmount.telemetry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLogTests {

	@Test
	void plainValuesAreNotQuoted() {
		assertThat(EventLog.line("job-accepted", "job", "j-1", "epoch", 7))
			.isEqualTo("event=job-accepted job=j-1 epoch=7");
	}

	@Test
	void aCallersTextCannotForgeASecondEvent() {
		String line = EventLog.line("job-refused", "detail", "x\nevent=job-accepted job=\"j-2\"\u2028");
		assertThat(line).isEqualTo("event=job-refused detail=\"x\\u000aevent=job-accepted job=\\\"j-2\\\"\\u2028\"");
	}

	@Test
	void anEmptyValueIsQuoted() {
		assertThat(EventLog.line("x", "why", "")).isEqualTo("event=x why=\"\"");
	}

}
