package org.almondmount.workflow;

import org.almondmount.model.InvalidValueException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class CheckpointingTests {

	@Test
	void zeroIntervalIsRejectedNamingTheField() {
		assertThatThrownBy(() -> new Checkpointing(0, 1)).isInstanceOf(InvalidValueException.class)
			.hasMessageContaining("intervalMillis");
	}

	@Test
	void negativeRestoreTimeIsRejectedNamingTheField() {
		assertThatThrownBy(() -> new Checkpointing(1, -1)).isInstanceOf(InvalidValueException.class)
			.hasMessageContaining("restoreMillis");
	}

}
