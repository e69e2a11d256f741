package org.almondmount.term;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TermManagerTests {

	private static final long LENGTH_MILLIS = 2_000;

	private final TermManager manager = new TermManager(new TermSettings("me", "10.0.0.1:1", LENGTH_MILLIS));

	private long now = 50_000;

	@Test
	void theFirstEntryTakesTheTermAtOnce() {
		assertThat(feed(new TermEvent.Tick())).containsExactly(new TermCommand.Read());
		TermCommand.Commit commit = commitIn(feed(new TermEvent.RowRead(Optional.empty(), 0)));
		assertThat(commit.expectedVersion()).isZero();
		assertThat(feed(new TermEvent.Committed(commit.row().commit(), 7))).contains(new TermCommand.Began(1));
	}

	@Test
	void termIsTakenOnlyAfterTheRowWasUnchangedForItsLength() {
		feed(new TermEvent.Tick());
		assertThat(commits(feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9)))).isEmpty();
		readUnchangedRowFor(LENGTH_MILLIS - 400);
		assertThat(this.manager.epoch()).isZero();
		this.now += 500;
		feed(new TermEvent.Tick());
		assertThat(commitIn(feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9))).row().epoch()).isEqualTo(5);
	}

	// Guards against waiting longer than necessary for a failed holder: its row would
	// count as unchanged only from the first read on, although the holder announced the
	// commit that wrote it long before.
	@Test
	void rowCountsAsUnchangedSinceItsCommitWasAnnounced() {
		feed(new TermEvent.Tick());
		feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9));
		TermRow later = otherRowWithCommit(4, 77);
		feed(new TermEvent.HolderAnnounced(4, 77));
		this.now += LENGTH_MILLIS - 100;
		assertThat(commits(feed(new TermEvent.RowRead(Optional.of(later), 10)))).isEmpty();
		this.now += 200;
		TermEvent.RowRead unchanged = new TermEvent.RowRead(Optional.of(later), 10);
		assertThat(commitIn(feed(unchanged)).row().epoch()).isEqualTo(5);
	}

	@Test
	void rowOfAnUnannouncedCommitCountsAsUnchangedSinceItWasRead() {
		feed(new TermEvent.Tick());
		feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9));
		feed(new TermEvent.HolderAnnounced(4, 76));
		this.now += LENGTH_MILLIS - 100;
		TermEvent.RowRead read = new TermEvent.RowRead(Optional.of(otherRowWithCommit(4, 77)), 10);
		feed(read);
		this.now += 200;
		assertThat(commits(feed(read))).isEmpty();
	}

	// The holder resigns because the store refuses its commits. Callers wait until an
	// entry decides again, so the row is no longer observed for its whole length.
	@Test
	void resignedTermIsTakenAtOnce() {
		feed(new TermEvent.Tick());
		feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9));
		List<TermCommand> commands = feed(new TermEvent.HolderResigned(4));
		assertThat(commands).contains(new TermCommand.Read());
		assertThat(commitIn(feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9))).row().epoch()).isEqualTo(5);
	}

	@Test
	void resignationOfAnEarlierEpochIsIgnored() {
		feed(new TermEvent.Tick());
		feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9));
		feed(new TermEvent.HolderResigned(3));
		assertThat(commits(feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9)))).isEmpty();
	}

	// A commit takes effect and its answer is lost. When it is sent again unchanged, it
	// finds its own number in the row, and the data that it stored counts as saved.
	@Test
	void commitWithLostAnswerIsRecognizedByItsNumber() {
		takeTerm();
		TermCommand.Commit commit = commitIn(feed(new TermEvent.Save(11)));
		TermCommand.Commit again = commitIn(feed(new TermEvent.Unanswered(commit.row().commit())));
		assertThat(again).isEqualTo(commit);
		assertThat(feed(new TermEvent.Conflict(commit.row().commit(), Optional.of(commit.row()), 30)))
			.contains(new TermCommand.Saved(11));
	}

	// Guards against a tight retry loop: a store that resets each call would be called a
	// hundred times a second.
	@Test
	void commitUnansweredTwiceIsRetriedAfterAPause() {
		takeTerm();
		long commit = commitIn(feed(new TermEvent.Save(11))).row().commit();
		commitIn(feed(new TermEvent.Unanswered(commit)));
		assertThat(commits(feed(new TermEvent.Unanswered(commit)))).isEmpty();
		this.now += 50;
		commitIn(feed(new TermEvent.Tick()));
	}

	@Test
	void holderLosesItsTermWhenAnotherEntryWroteTheRow() {
		takeTerm();
		TermCommand.Commit commit = commitIn(feed(new TermEvent.Save(11)));
		assertThat(feed(new TermEvent.Conflict(commit.row().commit(), Optional.of(otherRow(9)), 30)))
			.anyMatch(TermCommand.Ended.class::isInstance);
		assertThat(this.manager.validUntilMillis()).isEqualTo(TermManager.NOT_HELD);
	}

	@Test
	void holderResignsWhenItsCommitsAreRefused() {
		takeTerm();
		TermCommand.Commit commit = commitIn(feed(new TermEvent.Save(11)));
		boolean ended = false;
		for (int i = 0; i < 20 && !ended; i++) {
			this.now += 50;
			ended = containsEnded(feed(new TermEvent.CommitRefused(commit.row().commit())))
					|| containsEnded(feed(new TermEvent.Tick()));
		}
		assertThat(ended).isTrue();
	}

	// The store accepts the commit and never answers. The wait for the answer grows with
	// each retry; the holder resigns before such a wait ends.
	@Test
	void holderResignsWhenTheStoreDoesNotAnswer() {
		takeTerm();
		feed(new TermEvent.Save(11));
		long sent = this.now;
		boolean ended = false;
		while (!ended && this.now < sent + LENGTH_MILLIS) {
			this.now += 50;
			ended = containsEnded(feed(new TermEvent.Tick()));
		}
		assertThat(this.now - sent).isLessThan(LENGTH_MILLIS / 2);
	}

	// Guards against a holder that waits no longer for a slow store than for one that
	// does not answer, and leaves the term to entries that have to commit to the same
	// store.
	@Test
	void holderKeepsItsTermWhileTheStoreIsSlow() {
		takeTerm();
		TermCommand.Commit commit = commitIn(feed(new TermEvent.Save(11)));
		this.now += 600;
		feed(new TermEvent.CommitDelayed(commit.row().commit()));
		this.now += 1_300;
		assertThat(containsEnded(feed(new TermEvent.Tick()))).isFalse();
		assertThat(feed(new TermEvent.Committed(commit.row().commit(), 30))).contains(new TermCommand.Saved(11));
	}

	// Guards against a holder that decides after a pause: it may not decide before its
	// term is renewed, and never if another entry took the term.
	@Test
	void termOfAPausedHolderIsInvalidUntilRenewed() {
		takeTerm();
		this.now += LENGTH_MILLIS;
		TermCommand.Commit renewal = commitIn(feed(new TermEvent.Tick()));
		assertThat(this.manager.validUntilMillis()).isLessThan(this.now);
		feed(new TermEvent.Committed(renewal.row().commit(), 30));
		assertThat(this.manager.validUntilMillis()).isGreaterThan(this.now);
	}

	@Test
	void pausedHolderLosesATermThatWasTaken() {
		takeTerm();
		this.now += LENGTH_MILLIS;
		TermCommand.Commit renewal = commitIn(feed(new TermEvent.Tick()));
		assertThat(feed(new TermEvent.Conflict(renewal.row().commit(), Optional.of(otherRow(9)), 30)))
			.anyMatch(TermCommand.Ended.class::isInstance);
		assertThat(this.manager.validUntilMillis()).isEqualTo(TermManager.NOT_HELD);
	}

	@Test
	void restartedProcessTakesTheTermOfItsPreviousRunAtOnce() {
		feed(new TermEvent.Tick());
		TermRow former = new TermRow("me-before", "10.0.0.1:1", 4, 8, LENGTH_MILLIS, false);
		assertThat(commitIn(feed(new TermEvent.RowRead(Optional.of(former), 9))).row().epoch()).isEqualTo(5);
	}

	// Guards against a term without a holder: the entry that took it exits before it
	// receives the answer to its commit.
	@Test
	void termTakenDuringShutdownIsReleasedAtOnce() {
		feed(new TermEvent.Tick());
		TermCommand.Commit take = commitIn(feed(new TermEvent.RowRead(Optional.empty(), 0)));
		assertThat(feed(new TermEvent.Release())).isEmpty();
		List<TermCommand> taken = feed(new TermEvent.Committed(take.row().commit(), 7));
		assertThat(taken).noneMatch(TermCommand.Began.class::isInstance);
		assertThat(this.manager.validUntilMillis()).isEqualTo(TermManager.NOT_HELD);
		TermCommand.Commit release = commitIn(taken);
		assertThat(release.row().released()).isTrue();
		assertThat(feed(new TermEvent.Committed(release.row().commit(), 8))).contains(new TermCommand.Released(1));
	}

	@Test
	void shutdownDoesNotWaitForATermTakenByAnotherEntry() {
		feed(new TermEvent.Tick());
		TermCommand.Commit take = commitIn(feed(new TermEvent.RowRead(Optional.empty(), 0)));
		feed(new TermEvent.Release());
		assertThat(feed(new TermEvent.Conflict(take.row().commit(), Optional.of(otherRow(1)), 7)))
			.contains(new TermCommand.Released(0));
	}

	private void takeTerm() {
		feed(new TermEvent.Tick());
		TermCommand.Commit commit = commitIn(feed(new TermEvent.RowRead(Optional.empty(), 0)));
		feed(new TermEvent.Committed(commit.row().commit(), 7));
	}

	private void readUnchangedRowFor(long millis) {
		for (long until = this.now + millis; this.now < until; this.now += 100) {
			if (feed(new TermEvent.Tick()).contains(new TermCommand.Read())) {
				assertThat(commits(feed(new TermEvent.RowRead(Optional.of(otherRow(4)), 9)))).isEmpty();
			}
		}
	}

	private static TermRow otherRow(long epoch) {
		return otherRowWithCommit(epoch, 1);
	}

	private static TermRow otherRowWithCommit(long epoch, long commit) {
		return new TermRow("other", "10.0.0.2:1", epoch, commit, LENGTH_MILLIS, false);
	}

	private static boolean containsEnded(List<TermCommand> commands) {
		return commands.stream().anyMatch(TermCommand.Ended.class::isInstance);
	}

	private static List<TermCommand.Commit> commits(List<TermCommand> commands) {
		List<TermCommand.Commit> commits = new ArrayList<>();
		for (TermCommand command : commands) {
			if (command instanceof TermCommand.Commit commit) {
				commits.add(commit);
			}
		}
		return commits;
	}

	private static TermCommand.Commit commitIn(List<TermCommand> commands) {
		assertThat(commits(commands)).hasSize(1);
		return commits(commands).get(0);
	}

	private List<TermCommand> feed(TermEvent event) {
		return this.manager.handle(this.now, event);
	}

}
