package org.almondmount.configuration;

import org.almondmount.model.Configuration;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationManagerTests {

	private final ConfigurationManager manager = new ConfigurationManager(1_000);

	@Test
	void aHigherRevisionIsApplied() {
		assertThat(this.manager.handle(0, new ConfigurationEvent.RowRead(revision(3))))
			.containsExactly(new ConfigurationCommand.Apply(revision(3)));
	}

	// Guards against putting a zone back in service that operators took out: an entry
	// that was suspended resumes and sends its outdated configuration.
	@Test
	void aLowerRevisionNeverReplacesAHigherOne() {
		this.manager.handle(0, new ConfigurationEvent.ReceivedFromPeer(revision(5)));
		assertThat(this.manager.handle(1, new ConfigurationEvent.ReceivedFromPeer(revision(4)))).isEmpty();
		assertThat(this.manager.handle(2, new ConfigurationEvent.RowRead(revision(4)))).isEmpty();
		assertThat(this.manager.revision()).isEqualTo(5);
	}

	@Test
	void theEmptyConfigurationOfANewInstallationIsAccepted() {
		assertThat(this.manager.current()).isEmpty();
		this.manager.handle(0, new ConfigurationEvent.RowRead(Configuration.EMPTY));
		assertThat(this.manager.current()).contains(Configuration.EMPTY);
	}

	@Test
	void requestsToAPeerWithAHigherRevisionAreRateLimited() {
		ConfigurationEvent seen = new ConfigurationEvent.PeerRevisionReceived(4, "entry-b");
		assertThat(this.manager.handle(0, seen))
			.containsExactly(new ConfigurationCommand.RequestFromPeer("entry-b", 0));
		assertThat(this.manager.handle(10, seen)).isEmpty();
		assertThat(this.manager.handle(300, seen)).hasSize(1);
	}

	@Test
	void atMostOneReadIsInProgress() {
		assertThat(this.manager.handle(0, new ConfigurationEvent.Tick())).hasSize(1);
		assertThat(this.manager.handle(5_000, new ConfigurationEvent.Tick())).isEmpty();
		this.manager.handle(5_001, new ConfigurationEvent.ReadFailed());
		assertThat(this.manager.handle(5_002, new ConfigurationEvent.Tick())).hasSize(1);
	}

	private static Configuration revision(long revision) {
		return Configuration.EMPTY.withRevision(revision);
	}

}
