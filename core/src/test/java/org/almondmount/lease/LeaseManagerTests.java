package org.almondmount.lease;

import java.util.List;
import java.util.Optional;

import org.almondmount.lease.impl.ObservedLeaseManager;
import org.almondmount.model.EntryId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseManagerTests {

	private static final EntryId SELF = new EntryId("entry-a");

	private static final EntryId OTHER = new EntryId("entry-b");

	private final LeaseManager manager = new ObservedLeaseManager(new LeaseSettings(SELF, "10.0.0.1:1", 4_000));

	@Test
	void theFirstEntryTakesAnAbsentLease() {
		this.manager.handle(0, new LeaseEvent.Tick());
		LeaseCommand.Commit commit = commit(this.manager.handle(10, new LeaseEvent.RowRead(Optional.empty(), 0)));
		assertThat(commit.expectedVersion()).isZero();
		assertThat(commit.takeover()).isTrue();
		assertThat(endCommit(30, commit, LeaseEvent.CommitOutcome.COMMITTED))
			.contains(new LeaseCommand.BecameHolder(1));
	}

	// Guards against validity that counts from a late answer: the holder would still act
	// after an observer, which read the renewed row earlier, has taken the lease over.
	@Test
	void validityCountsFromBeforeTheCommitWasSent() {
		this.manager.handle(0, new LeaseEvent.Tick());
		LeaseCommand.Commit commit = commit(this.manager.handle(10, new LeaseEvent.RowRead(Optional.empty(), 0)));
		endCommit(900, commit, LeaseEvent.CommitOutcome.COMMITTED);
		assertThat(this.manager.validUntilMillis()).isEqualTo(10 + 3_500);
	}

	@Test
	void leaseIsTakenOverOnlyAfterTheRowWasUnchangedForItsLength() {
		LeaseEvent unchanged = new LeaseEvent.RowRead(Optional.of(row(OTHER, 7, 1)), 3);
		this.manager.handle(0, new LeaseEvent.Tick());
		assertThat(commits(this.manager.handle(100, unchanged))).isEmpty();
		this.manager.handle(3_000, new LeaseEvent.Tick());
		assertThat(commits(this.manager.handle(4_099, unchanged))).isEmpty();
		LeaseCommand.Commit commit = commit(this.manager.handle(4_100, unchanged));
		assertThat(commit.expectedVersion()).isEqualTo(3);
		assertThat(commit.row().epoch()).isEqualTo(8);
	}

	@Test
	void observedRenewalRestartsTheWait() {
		this.manager.handle(0, new LeaseEvent.Tick());
		this.manager.handle(100, new LeaseEvent.RowRead(Optional.of(row(OTHER, 7, 1)), 3));
		this.manager.handle(3_000, new LeaseEvent.Tick());
		this.manager.handle(3_010, new LeaseEvent.RowRead(Optional.of(row(OTHER, 7, 2)), 4));
		assertThat(commits(this.manager.handle(6_900, new LeaseEvent.Tick()))).isEmpty();
	}

	@Test
	void aReleasedLeaseIsTakenAtOnce() {
		LeaseRow released = new LeaseRow(OTHER, 7, 4_000, 9, "10.0.0.2:1", true);
		this.manager.handle(0, new LeaseEvent.Tick());
		assertThat(commits(this.manager.handle(10, new LeaseEvent.RowRead(Optional.of(released), 3)))).hasSize(1);
	}

	// The answer to the takeover is lost, so the entry may be holder without knowing it.
	// It acts only once it has read that commit in the row, and its validity counts from
	// when the commit was sent.
	@Test
	void commitWithLostAnswerIsResolvedByReadingTheRow() {
		this.manager.handle(0, new LeaseEvent.Tick());
		LeaseCommand.Commit commit = commit(this.manager.handle(10, new LeaseEvent.RowRead(Optional.empty(), 0)));
		List<LeaseCommand> afterLoss = endCommit(700, commit, LeaseEvent.CommitOutcome.UNKNOWN);
		assertThat(afterLoss).contains(new LeaseCommand.Read());
		assertThat(this.manager.validUntilMillis()).isEqualTo(LeaseManager.NOT_HELD);
		List<LeaseCommand> afterRead = this.manager.handle(720, new LeaseEvent.RowRead(Optional.of(commit.row()), 1));
		assertThat(afterRead).contains(new LeaseCommand.BecameHolder(1));
		assertThat(this.manager.validUntilMillis()).isEqualTo(10 + 3_500);
	}

	// Guards against a holder that acts on an outdated answer after a pause. The process
	// is paused past the end of its lease, and the next event is an answer from before
	// the pause; the holder steps down before it handles that event.
	@Test
	void pausedHolderStepsDownBeforeHandlingAnyEvent() {
		becomeHolder();
		List<LeaseCommand> commands = this.manager.handle(9_000,
				new LeaseEvent.RowRead(Optional.of(row(SELF, 1, 1)), 1));
		assertThat(commands.get(0)).isInstanceOf(LeaseCommand.SteppedDown.class);
		assertThat(this.manager.epoch()).isZero();
	}

	@Test
	void ownLeaseIsRetakenOnlyUnderANewEpoch() {
		becomeHolder();
		List<LeaseCommand> commands = this.manager.handle(9_000,
				new LeaseEvent.RowRead(Optional.of(row(SELF, 1, 1)), 1));
		assertThat(commit(commands).row().epoch()).isEqualTo(2);
	}

	@Test
	void theHolderRenewsEveryQuarterOfTheLength() {
		becomeHolder();
		this.manager.handle(50, new LeaseEvent.RowRead(Optional.of(row(SELF, 1, 1)), 1));
		assertThat(commits(this.manager.handle(1_000, new LeaseEvent.Tick()))).isEmpty();
		assertThat(commits(this.manager.handle(1_060, new LeaseEvent.Tick()))).hasSize(1);
	}

	@Test
	void holderStepsDownBeforeTheReleaseIsCommitted() {
		becomeHolder();
		this.manager.handle(50, new LeaseEvent.RowRead(Optional.of(row(SELF, 1, 1)), 1));
		List<LeaseCommand> commands = this.manager.handle(100, new LeaseEvent.Release());
		assertThat(commands.get(0)).isInstanceOf(LeaseCommand.SteppedDown.class);
		assertThat(commit(commands).row().released()).isTrue();
		assertThat(endCommit(120, commit(commands), LeaseEvent.CommitOutcome.COMMITTED))
			.contains(new LeaseCommand.Released());
	}

	private void becomeHolder() {
		this.manager.handle(0, new LeaseEvent.Tick());
		LeaseCommand.Commit commit = commit(this.manager.handle(10, new LeaseEvent.RowRead(Optional.empty(), 0)));
		endCommit(30, commit, LeaseEvent.CommitOutcome.COMMITTED);
	}

	private List<LeaseCommand> endCommit(long now, LeaseCommand.Commit commit, LeaseEvent.CommitOutcome ending) {
		return this.manager.handle(now, new LeaseEvent.CommitEnded(commit.commitNumber(), ending));
	}

	private static LeaseRow row(EntryId holder, long epoch, long commit) {
		return new LeaseRow(holder, epoch, 4_000, commit, "10.0.0.9:1", false);
	}

	private static List<LeaseCommand> commits(List<LeaseCommand> commands) {
		return commands.stream().filter(LeaseCommand.Commit.class::isInstance).toList();
	}

	private static LeaseCommand.Commit commit(List<LeaseCommand> commands) {
		assertThat(commits(commands)).hasSize(1);
		return (LeaseCommand.Commit) commits(commands).get(0);
	}

}
