package org.almondmount.wire.impl;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RackId;
import org.almondmount.model.RequestId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerInfo;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * Sample messages for tests: one of each kind.
 */
final class MessageSamples {

	static final Attempt ATTEMPT = new Attempt(new JobId("job-1"), 3);

	static final GangShape SHAPE = new GangShape(8, new Resources(1, 4, 16_384), Adjacency.RACK);

	static final JobSpec SPEC = new JobSpec(new CustomerId("parish"), "panel", SHAPE, Urgency.URGENT, true,
			Duration.ofMinutes(10), Duration.ofSeconds(30), "sleep 3s");

	static final Configuration CONFIGURATION = Configuration.EMPTY
		.withCustomer(new Customer(new CustomerId("parish"), 1.5, List.of(new GuaranteedShape(2, SHAPE))))
		.withZone(new ZoneId("lulea-a"), ZoneState.OUT)
		.withOption("backfill", "on")
		.withRevision(7);

	static final WorkerIncarnation INCARNATION = new WorkerIncarnation("worker-1", 1_700_000_000_000L);

	static final TaskId TASK = new TaskId("5c0e7a21d94b36f8", 0, 1, 17);

	static final WorkerReport REPORT = new WorkerReport("target-1",
			new WorkerDescription(INCARNATION, "pool", "lulea-a", Set.of("a", "r1-3"),
					new ResourceAmount(128_000, 524_288, 8), true, 4_500),
			9, List.of(new WorkerReport.Running(TASK, 2, "c1", 41)),
			List.of(new WorkerReport.Ended(58, TASK, 1, RunOutcome.FAILED, "")),
			List.of(new WorkerReport.Crashed(INCARNATION, TASK, 1, 250)));

	static final List<Message> ALL = List.of(
			new Message.Heartbeat(1, 2, 3, 4, List.of(new HeldMember(ATTEMPT, 0, 8, true))),
			new Message.HeartbeatReply(1, 2, 3_000, List.of(ATTEMPT), List.of(ATTEMPT), List.of("127.0.0.1:1")),
			new Message.EntryHeartbeat(1, 2, 3, true, 4), new Message.ConfigurationWanted(6),
			new Message.ConfigurationPush(CONFIGURATION), new Message.SlotsLent(4), new Message.Leaving(),
			new Message.Call(new RequestId("r-1"), 1, new CustomerId("parish"), 5_000, "/code", Map.of("a", "b"),
					new byte[] { 1, 2 }),
			new Message.CallCancel(new RequestId("r-1"), 1),
			new Message.CallAnswer(new RequestId("r-1"), 1, 200, Map.of("c", "d"), new byte[] { 3 }),
			new Message.CallNotStarted(new RequestId("r-1"), 1, "full"),
			new Message.CallBroken(new RequestId("r-1"), 1, "cut"), new Message.Prepare(9, ATTEMPT, 2, SPEC, true),
			new Message.MemberOrder(9, ATTEMPT, 2, Message.Order.START),
			new Message.MemberReport(ATTEMPT, 2, Message.Report.PREPARED, ""),
			new Message.MemberEnded(ATTEMPT, 2, JobOutcome.SUCCEEDED),
			new Message.MemberUsage(ATTEMPT, 2, new Resources(1, 2, 3)),
			new Message.Forward(5, "parish", "POST", "/v1/jobs", new byte[] { 4 }, Map.of("idempotency-key", "k1")),
			new Message.ForwardAnswer(5, 201, Map.of(), new byte[0]),
			new Message.HolderAnnouncement(new EntryId("entry-1"), 9, "127.0.0.1:2"), new Message.TargetAlive(7),
			new Message.LeaseGranted(9, 7, 6_000, List.of("127.0.0.1:1")), new Message.WorkerStatus(REPORT),
			new Message.RunNotStarted(TASK, 2, "draining"),
			new Message.RunStart(9, 7, INCARNATION, TASK, 2, "program", "checkpoint",
					new ResourceAmount(128_000, 524_288, 8)),
			new Message.RunStop(9, INCARNATION, TASK, 2), new Message.EndsRecorded(9, INCARNATION, 57));

	private MessageSamples() {
	}

	static PeerInfo target(String name) {
		WorkerInfo worker = new WorkerInfo(new WorkerId(name), new ZoneId("lulea-a"), new RackId("r1"),
				new Resources(8, 128, 524_288));
		return new PeerInfo(PeerInfo.Role.TARGET, name, "", "lulea-a", Optional.of(worker), 8, 1);
	}

	static PeerInfo entry(String name) {
		return new PeerInfo(PeerInfo.Role.ENTRY, name, "127.0.0.1:9", "lulea-b", Optional.empty(), 0, 1);
	}

}
