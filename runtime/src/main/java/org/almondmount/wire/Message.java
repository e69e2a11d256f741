package org.almondmount.wire;

import java.util.List;
import java.util.Map;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RequestId;
import org.almondmount.model.Resources;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * Every message between almondmount's processes. The handshake comes before the first of
 * them and is not part of them; see {@link PeerInfo}. Times travel as durations, because
 * the clocks of two processes are not compared.
 */
public sealed interface Message {

	/**
	 * Target to entry, at every heartbeat interval.
	 *
	 * @param sequence grows by one; the reply repeats it
	 * @param revision the sender's configuration revision, 0 for none
	 * @param epoch the highest epoch that the sender has seen
	 * @param slotsInUse requests that the instance is working on
	 * @param members what its worker holds and runs
	 */
	record Heartbeat(long sequence, long revision, long epoch, int slotsInUse,
			List<HeldMember> members) implements Message {
	}

	/**
	 * Entry to target, and entry to entry, in answer to each heartbeat.
	 *
	 * @param sequence the heartbeat's
	 * @param revision the sender's configuration revision
	 * @param zonesFreshForMillis for how much longer the sender's view of zones may be
	 * used to start work; 0 when it is too old
	 * @param fullyRunningAttempts attempts of the target's members whose gang is heard
	 * whole
	 * @param recordedAttempts attempts whose end has been recorded, so that reports can
	 * cease
	 * @param entries peer addresses ({@code ip:port}) of the entries known to the sender
	 */
	record HeartbeatReply(long sequence, long revision, long zonesFreshForMillis, List<Attempt> fullyRunningAttempts,
			List<Attempt> recordedAttempts, List<String> entries) implements Message {
	}

	/**
	 * Entry to entry, at every heartbeat interval.
	 *
	 * @param sequence grows by one; the reply repeats it
	 * @param revision the sender's configuration revision
	 * @param epoch the highest epoch that the sender has seen
	 * @param holder whether the sender holds the scheduler's lease under that epoch
	 * @param lastCommit the number of the holder's last commit that is in the store, 0
	 * where the sender does not say
	 */
	record EntryHeartbeat(long sequence, long revision, long epoch, boolean holder,
			long lastCommit) implements Message {

		/**
		 * A heartbeat that speaks of no commit.
		 * @param sequence grows by one
		 * @param revision the sender's configuration revision
		 * @param epoch the highest epoch that the sender has seen
		 * @param holder whether the sender holds the scheduler's lease under that epoch
		 */
		public EntryHeartbeat(long sequence, long revision, long epoch, boolean holder) {
			this(sequence, revision, epoch, holder, 0);
		}

	}

	/** Asks for the configuration, because the other side's revision is higher. */
	record ConfigurationWanted(long ownRevision) implements Message {
	}

	/** The whole configuration. */
	record ConfigurationPush(Configuration configuration) implements Message {
	}

	/** Target to entry: the slots that it may use from now on. */
	record SlotsLent(int slots) implements Message {
	}

	/** The sender takes no new work from now on. */
	record Leaving() implements Message {
	}

	/**
	 * Entry to target: one attempt at a request.
	 *
	 * @param request the request
	 * @param attempt the attempt's number, from 1
	 * @param customer on whose behalf
	 * @param remainingMillis time until the deadline
	 * @param path the path at the instance
	 * @param headers headers to pass on
	 * @param body the whole body
	 */
	record Call(RequestId request, int attempt, CustomerId customer, long remainingMillis, String path,
			Map<String, String> headers, byte[] body) implements Message {
	}

	/** Entry to target: nobody waits for the attempt any more; it may not start. */
	record CallCancel(RequestId request, int attempt) implements Message {
	}

	/** Target to entry: the instance's whole answer. */
	record CallAnswer(RequestId request, int attempt, int status, Map<String, String> headers,
			byte[] body) implements Message {
	}

	/** Target to entry: it did not start and never will. */
	record CallNotStarted(RequestId request, int attempt, String reason) implements Message {
	}

	/** Target to entry: the instance may have run it and its ending is unknown. */
	record CallBroken(RequestId request, int attempt, String reason) implements Message {
	}

	/** Lease holder to target: hold room for a member. */
	record Prepare(long epoch, Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint) implements Message {
	}

	/** Lease holder to target: an order about a member. */
	record MemberOrder(long epoch, Attempt attempt, int member, Order order) implements Message {
	}

	/** Target to every entry: what became of a member. */
	record MemberReport(Attempt attempt, int member, Report report, String reason) implements Message {
	}

	/** Target to every entry: a member's task is over. */
	record MemberEnded(Attempt attempt, int member, JobOutcome outcome) implements Message {
	}

	/** Target to every entry: what a member used a while ago. */
	record MemberUsage(Attempt attempt, int member, Resources used) implements Message {
	}

	/**
	 * Entry to lease holder: a job or operator call that only the holder can decide.
	 *
	 * @param id matches the answer
	 * @param caller the customer of the token, or empty for an operator
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param body the body
	 * @param headers headers that matter to the holder, by lower-case name
	 */
	record Forward(long id, String caller, String method, String path, byte[] body,
			Map<String, String> headers) implements Message {
	}

	/** Lease holder to entry: the answer, whole. */
	record ForwardAnswer(long id, int status, Map<String, String> headers, byte[] body) implements Message {
	}

	/** Entry to entry: which entry holds the lease, as last heard. */
	record HolderAnnouncement(EntryId holder, long epoch, String address) implements Message {
	}

	/** Target to the holder of the term: it lives; a grant repeats the number. */
	record TargetAlive(long heartbeat) implements Message {
	}

	/**
	 * Holder of the term to target: what runs beside it may go on.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the heartbeat from whose sending the lease counts
	 * @param leaseMillis the lease
	 * @param entries peer addresses of the entries known to the holder
	 */
	record LeaseGranted(long epoch, long heartbeat, long leaseMillis, List<String> entries) implements Message {
	}

	/** Target to the holder of the term: its worker as it is now. */
	record WorkerStatus(WorkerReport report) implements Message {
	}

	/** Target to the holder of the term: a run was not begun and never will be. */
	record RunNotStarted(TaskId task, int run, String reason) implements Message {
	}

	/**
	 * Holder of the term to target: begin a run.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the last heartbeat that the holder has heard of the target
	 * @param incarnation the life of the worker that is meant
	 * @param task the task
	 * @param run the run's number
	 * @param program what to run
	 * @param checkpoint where to go on, or empty
	 * @param capacity the worker's capacity by which it was chosen
	 */
	record RunStart(long epoch, long heartbeat, WorkerIncarnation incarnation, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements Message {
	}

	/** Holder of the term to target: end a run, or make sure that it never begins. */
	record RunStop(long epoch, WorkerIncarnation incarnation, TaskId task, int run) implements Message {
	}

	/** Holder of the term to target: ends up to that number are kept. */
	record EndsRecorded(long epoch, WorkerIncarnation incarnation, long upTo) implements Message {
	}

	/** A kind that this version does not know; counted and otherwise ignored. */
	record Unknown(int kind) implements Message {
	}

	/**
	 * What the lease holder orders about a member.
	 */
	enum Order {

		/** Start it: every member is held. */
		START,

		/** Release it, whether held, started or unknown. */
		ABORT,

		/** Checkpoint it, then end it. */
		SUSPEND,

		/** End it now. */
		STOP,

		/** Slow it down. */
		THROTTLE

	}

	/**
	 * What became of a member.
	 */
	enum Report {

		/** Held under a short lease. */
		PREPARED,

		/** Not held; nothing of it ran. */
		REFUSED,

		/** Its task runs. */
		STARTED,

		/** Its checkpoint is in the object store. */
		CHECKPOINTED

	}

}
