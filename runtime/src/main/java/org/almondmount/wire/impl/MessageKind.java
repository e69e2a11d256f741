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
 * The kinds of messages with their number on the wire and their fields in order. A number
 * is never used for something else; a new field is only ever added at the end and read
 * only where it is there.
 */
enum MessageKind {

	HEARTBEAT(1, 5, Message.Heartbeat.class, (out, m) -> {
		out.number(m.sequence()).number(m.revision()).number(m.epoch()).number(m.slotsInUse());
		out.list(m.members(), ValueCodec::writeHeldMember);
	}, (in) -> new Message.Heartbeat(in.number(), in.number(), in.number(), in.smallNumber(),
			in.list(ValueCodec::readHeldMember))),

	HEARTBEAT_REPLY(2, 6, Message.HeartbeatReply.class, (out, m) -> {
		out.number(m.sequence()).number(m.revision()).number(m.zonesFreshForMillis());
		out.list(m.wholeAttempts(), ValueCodec::writeAttempt);
		out.list(m.forgotten(), ValueCodec::writeAttempt);
		out.list(m.entries(), FrameWriter::text);
	}, (in) -> new Message.HeartbeatReply(in.number(), in.number(), in.number(), in.list(ValueCodec::readAttempt),
			in.list(ValueCodec::readAttempt), in.list(FrameReader::text))),

	ENTRY_HEARTBEAT(3, 5, Message.EntryHeartbeat.class, (out,
			m) -> out.number(m.sequence()).number(m.revision()).number(m.epoch()).flag(m.holder()).number(m.commit()),
			(in) -> new Message.EntryHeartbeat(in.number(), in.number(), in.number(), in.flag(),
					in.hasMore() ? in.number() : 0)),

	CONFIGURATION_WANTED(4, 1, Message.ConfigurationWanted.class, (out, m) -> out.number(m.ownRevision()),
			(in) -> new Message.ConfigurationWanted(in.number())),

	CONFIGURATION_PUSH(5, 1, Message.ConfigurationPush.class,
			(out, m) -> ValueCodec.writeConfiguration(out, m.configuration()),
			(in) -> new Message.ConfigurationPush(ValueCodec.readConfiguration(in))),

	SLOTS_LENT(6, 1, Message.SlotsLent.class, (out, m) -> out.number(m.slots()),
			(in) -> new Message.SlotsLent(in.smallNumber())),

	LEAVING(7, 0, Message.Leaving.class, (out, m) -> {
	}, (in) -> new Message.Leaving()),

	CALL(8, 7, Message.Call.class,
			(out, m) -> out.text(m.request().value())
				.number(m.attempt())
				.text(m.customer().value())
				.number(m.remainingMillis())
				.text(m.path())
				.texts(m.headers())
				.bytes(m.body()),
			(in) -> new Message.Call(new RequestId(in.text()), in.smallNumber(), new CustomerId(in.text()), in.number(),
					in.text(), in.texts(), in.bytes())),

	CALL_CANCEL(9, 2, Message.CallCancel.class, (out, m) -> out.text(m.request().value()).number(m.attempt()),
			(in) -> new Message.CallCancel(new RequestId(in.text()), in.smallNumber())),

	CALL_ANSWER(10, 5, Message.CallAnswer.class,
			(out, m) -> out.text(m.request().value())
				.number(m.attempt())
				.number(m.status())
				.texts(m.headers())
				.bytes(m.body()),
			(in) -> new Message.CallAnswer(new RequestId(in.text()), in.smallNumber(), in.smallNumber(), in.texts(),
					in.bytes())),

	CALL_NOT_STARTED(11, 3, Message.CallNotStarted.class,
			(out, m) -> out.text(m.request().value()).number(m.attempt()).text(m.why()),
			(in) -> new Message.CallNotStarted(new RequestId(in.text()), in.smallNumber(), in.text())),

	CALL_BROKEN(12, 3, Message.CallBroken.class,
			(out, m) -> out.text(m.request().value()).number(m.attempt()).text(m.why()),
			(in) -> new Message.CallBroken(new RequestId(in.text()), in.smallNumber(), in.text())),

	PREPARE(13, 5, Message.Prepare.class, (out, m) -> {
		out.number(m.epoch());
		ValueCodec.writeAttempt(out, m.attempt());
		out.number(m.member());
		ValueCodec.writeJobSpec(out, m.spec());
		out.flag(m.fromCheckpoint());
	}, (in) -> new Message.Prepare(in.number(), ValueCodec.readAttempt(in), in.smallNumber(),
			ValueCodec.readJobSpec(in), in.flag())),

	MEMBER_ORDER(14, 4, Message.MemberOrder.class, (out, m) -> {
		out.number(m.epoch());
		ValueCodec.writeAttempt(out, m.attempt());
		out.number(m.member()).constant(m.order());
	}, (in) -> new Message.MemberOrder(in.number(), ValueCodec.readAttempt(in), in.smallNumber(),
			in.constant(Message.Order.class))),

	MEMBER_REPORT(15, 4, Message.MemberReport.class, (out, m) -> {
		ValueCodec.writeAttempt(out, m.attempt());
		out.number(m.member()).constant(m.report()).text(m.why());
	}, (in) -> new Message.MemberReport(ValueCodec.readAttempt(in), in.smallNumber(), in.constant(Message.Report.class),
			in.text())),

	MEMBER_ENDED(16, 3, Message.MemberEnded.class, (out, m) -> {
		ValueCodec.writeAttempt(out, m.attempt());
		out.number(m.member()).constant(m.ending());
	}, (in) -> new Message.MemberEnded(ValueCodec.readAttempt(in), in.smallNumber(), in.constant(JobOutcome.class))),

	MEMBER_USAGE(17, 3, Message.MemberUsage.class, (out, m) -> {
		ValueCodec.writeAttempt(out, m.attempt());
		out.number(m.member());
		ValueCodec.writeResources(out, m.used());
	}, (in) -> new Message.MemberUsage(ValueCodec.readAttempt(in), in.smallNumber(), ValueCodec.readResources(in))),

	FORWARD(18, 6, Message.Forward.class,
			(out, m) -> out.number(m.id())
				.text(m.caller())
				.text(m.method())
				.text(m.path())
				.bytes(m.body())
				.texts(m.headers()),
			(in) -> new Message.Forward(in.number(), in.text(), in.text(), in.text(), in.bytes(), in.texts())),

	FORWARD_ANSWER(19, 4, Message.ForwardAnswer.class,
			(out, m) -> out.number(m.id()).number(m.status()).texts(m.headers()).bytes(m.body()),
			(in) -> new Message.ForwardAnswer(in.number(), in.smallNumber(), in.texts(), in.bytes())),

	HOLDER_IS(20, 3, Message.HolderIs.class,
			(out, m) -> out.text(m.holder().value()).number(m.epoch()).text(m.address()),
			(in) -> new Message.HolderIs(new EntryId(in.text()), in.number(), in.text())),

	TARGET_ALIVE(21, 1, Message.TargetAlive.class, (out, m) -> out.number(m.heartbeat()),
			(in) -> new Message.TargetAlive(in.number())),

	LEASE_GRANTED(22, 4, Message.LeaseGranted.class, (out, m) -> {
		out.number(m.epoch()).number(m.heartbeat()).number(m.leaseMillis());
		out.list(m.entries(), FrameWriter::text);
	}, (in) -> new Message.LeaseGranted(in.number(), in.number(), in.number(), in.list(FrameReader::text))),

	WORKER_TOLD(23, 1, Message.WorkerTold.class, (out, m) -> WorkflowCodec.writeReport(out, m.report()),
			(in) -> new Message.WorkerTold(WorkflowCodec.readReport(in))),

	RUN_NOT_BEGUN(24, 3, Message.RunNotBegun.class,
			(out, m) -> out.text(m.task().toString()).number(m.run()).text(m.why()),
			(in) -> new Message.RunNotBegun(TaskId.parse(in.text()), in.smallNumber(), in.text())),

	RUN_START(25, 8, Message.RunStart.class, (out, m) -> {
		out.number(m.epoch()).number(m.heartbeat());
		WorkflowCodec.writeLife(out, m.life());
		out.text(m.task().toString()).number(m.run()).text(m.program()).text(m.checkpoint());
		WorkflowCodec.writeAmount(out, m.capacity());
	}, (in) -> new Message.RunStart(in.number(), in.number(), WorkflowCodec.readLife(in), TaskId.parse(in.text()),
			in.smallNumber(), in.text(), in.text(), in.hasMore() ? WorkflowCodec.readAmount(in) : ResourceAmount.NONE)),

	RUN_STOP(26, 4, Message.RunStop.class, (out, m) -> {
		out.number(m.epoch());
		WorkflowCodec.writeLife(out, m.life());
		out.text(m.task().toString()).number(m.run());
	}, (in) -> new Message.RunStop(in.number(), WorkflowCodec.readLife(in), TaskId.parse(in.text()), in.smallNumber())),

	ENDS_KEPT(27, 3, Message.EndsKept.class, (out, m) -> {
		out.number(m.epoch());
		WorkflowCodec.writeLife(out, m.life());
		out.number(m.upTo());
	}, (in) -> new Message.EndsKept(in.number(), WorkflowCodec.readLife(in), in.number()));

	private static final Map<Integer, MessageKind> BY_CODE = new HashMap<>();

	private static final Map<Class<? extends Message>, MessageKind> BY_TYPE = new HashMap<>();

	static {
		for (MessageKind kind : values()) {
			BY_CODE.put(kind.code, kind);
			BY_TYPE.put(kind.type, kind);
		}
	}

	private final int code;

	private final int fields;

	private final Class<? extends Message> type;

	private final BiConsumer<FrameWriter, Message> writer;

	private final Function<FrameReader, ? extends Message> reader;

	<M extends Message> MessageKind(int code, int fields, Class<M> type, BiConsumer<FrameWriter, M> writer,
			Function<FrameReader, M> reader) {
		this.code = code;
		this.fields = fields;
		this.type = type;
		this.writer = (out, message) -> writer.accept(out, type.cast(message));
		this.reader = reader;
	}

	/**
	 * The kind of a number.
	 * @param code the number on the wire
	 * @return the kind, or null where this version has none
	 */
	static MessageKind of(int code) {
		return BY_CODE.get(code);
	}

	/**
	 * The kind of a message.
	 * @param message any message but an unknown one
	 * @return its kind
	 */
	static MessageKind of(Message message) {
		return BY_TYPE.get(message.getClass());
	}

	int code() {
		return this.code;
	}

	void write(FrameWriter out, Message message) {
		out.array(1 + this.fields).number(this.code);
		this.writer.accept(out, message);
	}

	Message read(FrameReader in) {
		return this.reader.apply(in);
	}

}
