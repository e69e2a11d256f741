package org.almondmount.fleet;

import java.net.InetSocketAddress;

import org.almondmount.model.InvalidValueException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class AddressesTests {

	@Test
	void anAddressIsParsed() {
		assertThat(Addresses.parse("10.1.0.19:7000")).isEqualTo(new InetSocketAddress("10.1.0.19", 7_000));
		assertThat(Addresses.parse("127.0.0.1:0").getPort()).isZero();
	}

	// Guards against a name that is looked up on the event loop, and against a port that
	// ends the process that dials it.
	@ParameterizedTest
	@ValueSource(strings = { "", ":", "x", "10.1.0.19", "10.1.0.19:", "10.1.0.19:-1", "10.1.0.19:65536",
			"10.1.0.19:99999999999999999999", "entry.example:7000", ":7000", "[[[[", "\uFFFD" })
	void aTextThatIsNoAddressIsRejected(String text) {
		assertThatThrownBy(() -> Addresses.parse(text)).isInstanceOf(InvalidValueException.class);
	}

}
