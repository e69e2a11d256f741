package org.almondmount.membership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryDirectoryTests {

	private static final String OTHER = "10.0.0.2:7000";

	private final EntryDirectory directory = new EntryDirectory("10.0.0.1:7000", 60_000);

	@Test
	void anAnnouncedEntryIsDialledWithGrowingIntervals() {
		this.directory.addAddress(0, OTHER);
		assertThat(this.directory.addressesToDial(0)).containsExactly(OTHER);
		assertThat(this.directory.addressesToDial(999)).isEmpty();
		assertThat(this.directory.addressesToDial(1_000)).containsExactly(OTHER);
		assertThat(this.directory.addressesToDial(2_000)).isEmpty();
		assertThat(this.directory.addressesToDial(3_000)).containsExactly(OTHER);
	}

	@Test
	void theOwnAddressIsNeverDialled() {
		this.directory.addAddress(0, "10.0.0.1:7000");
		assertThat(this.directory.addressesToDial(0)).isEmpty();
	}

	@Test
	void aConnectedEntryIsNotDialledAndIsAnnouncedToOthers() {
		this.directory.onConnected(0, OTHER);
		assertThat(this.directory.addressesToDial(10)).isEmpty();
		assertThat(this.directory.addressesToAnnounce()).containsExactly("10.0.0.1:7000", OTHER);
	}

	// Two entries that dial each other at the same time have two connections; when one of
	// them closes, the other is still open.
	@Test
	void anEntryWithOneOfTwoConnectionsLeftIsNotDialled() {
		this.directory.onConnected(0, OTHER);
		this.directory.onConnected(1, OTHER);
		this.directory.onDisconnected(2, OTHER);
		assertThat(this.directory.addressesToDial(5_000)).isEmpty();
	}

	// Guards against dialling the address of a killed entry forever, since its row
	// remains in the table.
	@Test
	void anUnresponsiveEntryIsRemoved() {
		this.directory.addAddress(0, OTHER);
		assertThat(this.directory.addressesToDial(60_001)).isEmpty();
		assertThat(this.directory.addressesToDial(70_000)).isEmpty();
	}

}
