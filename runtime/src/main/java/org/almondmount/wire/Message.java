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
 * The messages between almondmount's processes. The handshake precedes them and is not
 * modelled here; see {@link PeerInfo}. Times are transmitted as durations, because the
 * clocks of two processes are not compared.
 */
public sealed interface Message {

	/**
	 * Target to entry, at every heartbeat interval.
	 *
	 * @param sequence number that increases by one; the reply repeats it
	 * @param revision the sender's configuration revision, 0 for none
	 * @param epoch the highest epoch that the sender has seen
	 * @param slotsInUse number of requests that the instance is processing
	 * @param members the gang members that its worker holds or runs
	 */
	record Heartbeat(long sequence, long revision, long epoch, int slotsInUse,
			List<HeldMember> members) implements Message {
	}

	/**
	 * Entry to target, and entry to entry, in reply to each heartbeat.
	 *
	 * @param sequence the sequence number of the heartbeat
	 * @param revision the sender's configuration revision
	 * @param zonesFreshForMillis how much longer the sender's view of the zones may be
	 * used to start work; 0 if the view is too old
	 * @param fullyRunningAttempts attempts of the target's members whose gang is reported
	 * fully running
	 * @param recordedAttempts attempts whose end is recorded, so that the target can stop
	 * reporting them
	 * @param entries peer addresses ({@code ip:port}) of the entries known to the sender
	 */
	record HeartbeatReply(long sequence, long revision, long zonesFreshForMillis, List<Attempt> fullyRunningAttempts,
			List<Attempt> recordedAttempts, List<String> entries) implements Message {
	}

	/**
	 * Entry to entry, at every heartbeat interval.
	 *
	 * @param sequence number that increases by one; the reply repeats it
	 * @param revision the sender's configuration revision
	 * @param epoch the highest epoch that the sender has seen
	 * @param holder whether the sender holds the scheduler's lease under that epoch
	 * @param lastCommit the number of the holder's last commit that is in the store, 0 if
	 * the sender does not report it
	 */
	record EntryHeartbeat(long sequence, long revision, long epoch, boolean holder,
			long lastCommit) implements Message {

		/**
		 * Creates a heartbeat that reports no commit.
		 * @param sequence number that increases by one
		 * @param revision the sender's configuration revision
		 * @param epoch the highest epoch that the sender has seen
		 * @param holder whether the sender holds the scheduler's lease under that epoch
		 */
		public EntryHeartbeat(long sequence, long revision, long epoch, boolean holder) {
			this(sequence, revision, epoch, holder, 0);
		}

	}

	/** Requests the configuration, because the remote side's revision is higher. */
	record ConfigurationWanted(long ownRevision) implements Message {
	}

	/** The complete configuration. */
	record ConfigurationPush(Configuration configuration) implements Message {
	}

	/** Target to entry: the number of slots that the entry may use from now on. */
	record SlotsLent(int slots) implements Message {
	}

	/** The sender is draining and accepts no new work from now on. */
	record Leaving() implements Message {
	}

	/**
	 * Entry to target: runs one attempt of a request.
	 *
	 * @param request the request
	 * @param attempt the attempt's number, from 1
	 * @param customer the customer on whose behalf the request is made
	 * @param remainingMillis time until the deadline
	 * @param path the path at the instance
	 * @param headers the headers to forward
	 * @param body the complete body
	 */
	record Call(RequestId request, int attempt, CustomerId customer, long remainingMillis, String path,
			Map<String, String> headers, byte[] body) implements Message {
	}

	/** Entry to target: the attempt has no caller any more and must not start. */
	record CallCancel(RequestId request, int attempt) implements Message {
	}

	/** Target to entry: the complete response of the instance. */
	record CallAnswer(RequestId request, int attempt, int status, Map<String, String> headers,
			byte[] body) implements Message {
	}

	/** Target to entry: the attempt was not started and will never start. */
	record CallNotStarted(RequestId request, int attempt, String reason) implements Message {
	}

	/** Target to entry: the instance may have run the attempt; its outcome is unknown. */
	record CallBroken(RequestId request, int attempt, String reason) implements Message {
	}

	/** Lease holder to target: reserves capacity for a member. */
	record Prepare(long epoch, Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint) implements Message {
	}

	/** Lease holder to target: a command for a member. */
	record MemberOrder(long epoch, Attempt attempt, int member, Order order) implements Message {
	}

	/** Target to every entry: the state that a member has reached. */
	record MemberReport(Attempt attempt, int member, Report report, String reason) implements Message {
	}

	/** Target to every entry: a member's task has ended. */
	record MemberEnded(Attempt attempt, int member, JobOutcome outcome) implements Message {
	}

	/** Target to every entry: the resources that a member used a short time ago. */
	record MemberUsage(Attempt attempt, int member, Resources used) implements Message {
	}

	/**
	 * Entry to lease holder: a job or operator call that only the holder can decide.
	 *
	 * @param id the number by which the answer is matched
	 * @param caller the customer that owns the token, or empty for an operator
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param body the body
	 * @param headers the headers that the holder needs, by lower-case name
	 */
	record Forward(long id, String caller, String method, String path, byte[] body,
			Map<String, String> headers) implements Message {
	}

	/** Lease holder to entry: the complete answer to a forwarded call. */
	record ForwardAnswer(long id, int status, Map<String, String> headers, byte[] body) implements Message {
	}

	/**
	 * Entry to entry and entry to target: the entry that holds the lease, as last
	 * announced to the sender.
	 */
	record HolderAnnouncement(EntryId holder, long epoch, String address) implements Message {
	}

	/** Target to the holder of the term: a heartbeat; the grant repeats its number. */
	record TargetAlive(long heartbeat) implements Message {
	}

	/**
	 * Holder of the term to target: the runs on its worker may continue.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the heartbeat whose sending time starts the lease
	 * @param leaseMillis the duration of the lease
	 * @param entries peer addresses of the entries known to the holder
	 */
	record LeaseGranted(long epoch, long heartbeat, long leaseMillis, List<String> entries) implements Message {
	}

	/** Target to the holder of the term: the current state of its worker. */
	record WorkerStatus(WorkerReport report) implements Message {
	}

	/** Target to the holder of the term: a run was not started and will never start. */
	record RunNotStarted(TaskId task, int run, String reason) implements Message {
	}

	/**
	 * Holder of the term to target: starts a run.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the last heartbeat that the holder has received from the target
	 * @param incarnation the incarnation of the worker that the command is for
	 * @param task the task
	 * @param run the run's number
	 * @param program the program to run
	 * @param checkpoint the checkpoint from which to resume, or empty
	 * @param capacity the capacity of the worker on which its selection was based
	 */
	record RunStart(long epoch, long heartbeat, WorkerIncarnation incarnation, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements Message {
	}

	/** Holder of the term to target: stops a run, or prevents it from ever starting. */
	record RunStop(long epoch, WorkerIncarnation incarnation, TaskId task, int run) implements Message {
	}

	/** Holder of the term to target: the ends up to that number are recorded. */
	record EndsRecorded(long epoch, WorkerIncarnation incarnation, long upTo) implements Message {
	}

	/** A message that this version does not know; counted and otherwise ignored. */
	record Unknown(int kind) implements Message {
	}

	/**
	 * A command of the lease holder for a member.
	 */
	enum Order {

		/** Starts the member; every member of the gang is held. */
		START,

		/** Releases the member, whether it is held, started or unknown. */
		ABORT,

		/** Checkpoints the member, then stops it. */
		SUSPEND,

		/** Stops the member immediately. */
		STOP,

		/** Throttles the member. */
		THROTTLE

	}

	/**
	 * The state that a member has reached.
	 */
	enum Report {

		/** The member is held under a short lease. */
		PREPARED,

		/** The member is not held and no part of it has run. */
		REFUSED,

		/** The member's task is running. */
		STARTED,

		/** The member's checkpoint is in the object store. */
		CHECKPOINTED

	}

}
