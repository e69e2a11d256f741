package org.almondmount.wire.impl;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.wire.Message;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;

/**
 * The kinds of messages with their code on the wire and their fields in order. The names
 * of the constants are fixed and can differ from those of the message records. For
 * compatibility between versions a code is never reused, and a new field is only added at
 * the end and read only if it is present.
 */
enum MessageKind {

	HEARTBEAT(1, 5, Message.Heartbeat.class, (out, m) -> {
		out.writeLong(m.sequence()).writeLong(m.revision()).writeLong(m.epoch()).writeLong(m.slotsInUse());
		out.writeList(m.members(), ValueCodec::writeHeldMember);
	}, (in) -> new Message.Heartbeat(in.readLong(), in.readLong(), in.readLong(), in.readInt(),
			in.readList(ValueCodec::readHeldMember))),

	HEARTBEAT_REPLY(2, 6, Message.HeartbeatReply.class, (out, m) -> {
		out.writeLong(m.sequence()).writeLong(m.revision()).writeLong(m.zonesFreshForMillis());
		out.writeList(m.fullyRunningAttempts(), ValueCodec::writeAttempt);
		out.writeList(m.recordedAttempts(), ValueCodec::writeAttempt);
		out.writeList(m.entries(), FrameWriter::writeString);
	}, (in) -> new Message.HeartbeatReply(in.readLong(), in.readLong(), in.readLong(),
			in.readList(ValueCodec::readAttempt), in.readList(ValueCodec::readAttempt),
			in.readList(FrameReader::readString))),

	ENTRY_HEARTBEAT(3, 5, Message.EntryHeartbeat.class,
			(out, m) -> out.writeLong(m.sequence())
				.writeLong(m.revision())
				.writeLong(m.epoch())
				.writeBoolean(m.holder())
				.writeLong(m.lastCommit()),
			(in) -> new Message.EntryHeartbeat(in.readLong(), in.readLong(), in.readLong(), in.readBoolean(),
					in.hasNext() ? in.readLong() : 0)),

	CONFIGURATION_WANTED(4, 1, Message.ConfigurationWanted.class, (out, m) -> out.writeLong(m.ownRevision()),
			(in) -> new Message.ConfigurationWanted(in.readLong())),

	CONFIGURATION_PUSH(5, 1, Message.ConfigurationPush.class,
			(out, m) -> ValueCodec.writeConfiguration(out, m.configuration()),
			(in) -> new Message.ConfigurationPush(ValueCodec.readConfiguration(in))),

	SLOTS_LENT(6, 1, Message.SlotsLent.class, (out, m) -> out.writeLong(m.slots()),
			(in) -> new Message.SlotsLent(in.readInt())),

	LEAVING(7, 0, Message.Leaving.class, (out, m) -> {
	}, (in) -> new Message.Leaving()),

	CALL(8, 7, Message.Call.class,
			(out, m) -> out.writeString(m.request().value())
				.writeLong(m.attempt())
				.writeString(m.customer().value())
				.writeLong(m.remainingMillis())
				.writeString(m.path())
				.writeStringMap(m.headers())
				.writeBytes(m.body()),
			(in) -> new Message.Call(new RequestId(in.readString()), in.readInt(), new CustomerId(in.readString()),
					in.readLong(), in.readString(), in.readStringMap(), in.readBytes())),

	CALL_CANCEL(9, 2, Message.CallCancel.class, (out, m) -> out.writeString(m.request().value()).writeLong(m.attempt()),
			(in) -> new Message.CallCancel(new RequestId(in.readString()), in.readInt())),

	CALL_ANSWER(10, 5, Message.CallAnswer.class,
			(out, m) -> out.writeString(m.request().value())
				.writeLong(m.attempt())
				.writeLong(m.status())
				.writeStringMap(m.headers())
				.writeBytes(m.body()),
			(in) -> new Message.CallAnswer(new RequestId(in.readString()), in.readInt(), in.readInt(),
					in.readStringMap(), in.readBytes())),

	CALL_NOT_STARTED(11, 3, Message.CallNotStarted.class,
			(out, m) -> out.writeString(m.request().value()).writeLong(m.attempt()).writeString(m.reason()),
			(in) -> new Message.CallNotStarted(new RequestId(in.readString()), in.readInt(), in.readString())),

	CALL_BROKEN(12, 3, Message.CallBroken.class,
			(out, m) -> out.writeString(m.request().value()).writeLong(m.attempt()).writeString(m.reason()),
			(in) -> new Message.CallBroken(new RequestId(in.readString()), in.readInt(), in.readString())),

	PREPARE(13, 5, Message.Prepare.class, (out, m) -> {
		out.writeLong(m.epoch());
		ValueCodec.writeAttempt(out, m.attempt());
		out.writeLong(m.member());
		ValueCodec.writeJobSpec(out, m.spec());
		out.writeBoolean(m.fromCheckpoint());
	}, (in) -> new Message.Prepare(in.readLong(), ValueCodec.readAttempt(in), in.readInt(), ValueCodec.readJobSpec(in),
			in.readBoolean())),

	MEMBER_ORDER(14, 4, Message.MemberOrder.class, (out, m) -> {
		out.writeLong(m.epoch());
		ValueCodec.writeAttempt(out, m.attempt());
		out.writeLong(m.member()).writeEnum(m.order());
	}, (in) -> new Message.MemberOrder(in.readLong(), ValueCodec.readAttempt(in), in.readInt(),
			in.readEnum(Message.Order.class))),

	MEMBER_REPORT(15, 4, Message.MemberReport.class, (out, m) -> {
		ValueCodec.writeAttempt(out, m.attempt());
		out.writeLong(m.member()).writeEnum(m.report()).writeString(m.reason());
	}, (in) -> new Message.MemberReport(ValueCodec.readAttempt(in), in.readInt(), in.readEnum(Message.Report.class),
			in.readString())),

	MEMBER_ENDED(16, 3, Message.MemberEnded.class, (out, m) -> {
		ValueCodec.writeAttempt(out, m.attempt());
		out.writeLong(m.member()).writeEnum(m.outcome());
	}, (in) -> new Message.MemberEnded(ValueCodec.readAttempt(in), in.readInt(), in.readEnum(JobOutcome.class))),

	MEMBER_USAGE(17, 3, Message.MemberUsage.class, (out, m) -> {
		ValueCodec.writeAttempt(out, m.attempt());
		out.writeLong(m.member());
		ValueCodec.writeResources(out, m.used());
	}, (in) -> new Message.MemberUsage(ValueCodec.readAttempt(in), in.readInt(), ValueCodec.readResources(in))),

	FORWARD(18, 6, Message.Forward.class,
			(out, m) -> out.writeLong(m.id())
				.writeString(m.caller())
				.writeString(m.method())
				.writeString(m.path())
				.writeBytes(m.body())
				.writeStringMap(m.headers()),
			(in) -> new Message.Forward(in.readLong(), in.readString(), in.readString(), in.readString(),
					in.readBytes(), in.readStringMap())),

	FORWARD_ANSWER(19, 4, Message.ForwardAnswer.class,
			(out, m) -> out.writeLong(m.id()).writeLong(m.status()).writeStringMap(m.headers()).writeBytes(m.body()),
			(in) -> new Message.ForwardAnswer(in.readLong(), in.readInt(), in.readStringMap(), in.readBytes())),

	HOLDER_IS(20, 3, Message.HolderAnnouncement.class,
			(out, m) -> out.writeString(m.holder().value()).writeLong(m.epoch()).writeString(m.address()),
			(in) -> new Message.HolderAnnouncement(new EntryId(in.readString()), in.readLong(), in.readString())),

	TARGET_ALIVE(21, 1, Message.TargetAlive.class, (out, m) -> out.writeLong(m.heartbeat()),
			(in) -> new Message.TargetAlive(in.readLong())),

	LEASE_GRANTED(22, 4, Message.LeaseGranted.class, (out, m) -> {
		out.writeLong(m.epoch()).writeLong(m.heartbeat()).writeLong(m.leaseMillis());
		out.writeList(m.entries(), FrameWriter::writeString);
	}, (in) -> new Message.LeaseGranted(in.readLong(), in.readLong(), in.readLong(),
			in.readList(FrameReader::readString))),

	WORKER_TOLD(23, 1, Message.WorkerStatus.class, (out, m) -> WorkflowCodec.writeReport(out, m.report()),
			(in) -> new Message.WorkerStatus(WorkflowCodec.readReport(in))),

	RUN_NOT_BEGUN(24, 3, Message.RunNotStarted.class,
			(out, m) -> out.writeString(m.task().toString()).writeLong(m.run()).writeString(m.reason()),
			(in) -> new Message.RunNotStarted(TaskId.parse(in.readString()), in.readInt(), in.readString())),

	RUN_START(25, 8, Message.RunStart.class, (out, m) -> {
		out.writeLong(m.epoch()).writeLong(m.heartbeat());
		WorkflowCodec.writeIncarnation(out, m.incarnation());
		out.writeString(m.task().toString()).writeLong(m.run()).writeString(m.program()).writeString(m.checkpoint());
		WorkflowCodec.writeAmount(out, m.capacity());
	}, (in) -> new Message.RunStart(in.readLong(), in.readLong(), WorkflowCodec.readIncarnation(in),
			TaskId.parse(in.readString()), in.readInt(), in.readString(), in.readString(),
			in.hasNext() ? WorkflowCodec.readAmount(in) : ResourceAmount.NONE)),

	RUN_STOP(26, 4, Message.RunStop.class, (out, m) -> {
		out.writeLong(m.epoch());
		WorkflowCodec.writeIncarnation(out, m.incarnation());
		out.writeString(m.task().toString()).writeLong(m.run());
	}, (in) -> new Message.RunStop(in.readLong(), WorkflowCodec.readIncarnation(in), TaskId.parse(in.readString()),
			in.readInt())),

	ENDS_KEPT(27, 3, Message.EndsRecorded.class, (out, m) -> {
		out.writeLong(m.epoch());
		WorkflowCodec.writeIncarnation(out, m.incarnation());
		out.writeLong(m.upTo());
	}, (in) -> new Message.EndsRecorded(in.readLong(), WorkflowCodec.readIncarnation(in), in.readLong()));

	private static final Map<Integer, MessageKind> BY_CODE = new HashMap<>();

	private static final Map<Class<? extends Message>, MessageKind> BY_TYPE = new HashMap<>();

	static {
		for (MessageKind kind : values()) {
			BY_CODE.put(kind.code, kind);
			BY_TYPE.put(kind.type, kind);
		}
	}

	private final int code;

	private final int fieldCount;

	private final Class<? extends Message> type;

	private final BiConsumer<FrameWriter, Message> writer;

	private final Function<FrameReader, ? extends Message> reader;

	<M extends Message> MessageKind(int code, int fields, Class<M> type, BiConsumer<FrameWriter, M> writer,
			Function<FrameReader, M> reader) {
		this.code = code;
		this.fieldCount = fields;
		this.type = type;
		this.writer = (out, message) -> writer.accept(out, type.cast(message));
		this.reader = reader;
	}

	/**
	 * Returns the kind for a code.
	 * @param code the code on the wire
	 * @return the kind, or null if this version has none for that code
	 */
	static MessageKind of(int code) {
		return BY_CODE.get(code);
	}

	/**
	 * Returns the kind of a message.
	 * @param message any message except {@link Message.Unknown}
	 * @return its kind
	 */
	static MessageKind of(Message message) {
		return BY_TYPE.get(message.getClass());
	}

	int code() {
		return this.code;
	}

	void write(FrameWriter out, Message message) {
		out.writeArrayHeader(1 + this.fieldCount).writeLong(this.code);
		this.writer.accept(out, message);
	}

	Message read(FrameReader in) {
		return this.reader.apply(in);
	}

}
