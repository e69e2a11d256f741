package org.almondmount.wire.impl;

import java.util.List;
import java.util.Set;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * Encodes and decodes the values inside messages about workflows. Each value is an array
 * of fields; new fields are only added at the end, so that older versions can skip them.
 */
final class WorkflowCodec {

	private WorkflowCodec() {
	}

	static void writeIncarnation(FrameWriter out, WorkerIncarnation incarnation) {
		out.writeArrayHeader(2).writeString(incarnation.worker()).writeLong(incarnation.startedAtMillis());
	}

	static WorkerIncarnation readIncarnation(FrameReader in) {
		in.beginArray();
		WorkerIncarnation incarnation = new WorkerIncarnation(in.readString(), in.readLong());
		in.endArray();
		return incarnation;
	}

	static void writeReport(FrameWriter out, WorkerReport report) {
		out.writeArrayHeader(6).writeString(report.target());
		writeDescription(out, report.worker());
		out.writeLong(report.epoch());
		out.writeList(report.running(), WorkflowCodec::writeRunning);
		out.writeList(report.ended(), WorkflowCodec::writeEnded);
		out.writeList(report.crashed(), WorkflowCodec::writeCrashed);
	}

	static WorkerReport readReport(FrameReader in) {
		in.beginArray();
		WorkerReport report = new WorkerReport(in.readString(), readDescription(in), in.readLong(),
				in.readList(WorkflowCodec::readRunning), in.readList(WorkflowCodec::readEnded),
				in.hasNext() ? in.readList(WorkflowCodec::readCrashed) : List.of());
		in.endArray();
		return report;
	}

	private static void writeDescription(FrameWriter out, WorkerDescription worker) {
		out.writeArrayHeader(7);
		writeIncarnation(out, worker.incarnation());
		out.writeString(worker.pool()).writeString(worker.zone());
		out.writeList(worker.labels(), FrameWriter::writeString);
		writeAmount(out, worker.capacity());
		out.writeBoolean(worker.draining()).writeLong(worker.remainingMillis());
	}

	private static WorkerDescription readDescription(FrameReader in) {
		in.beginArray();
		WorkerDescription worker = new WorkerDescription(readIncarnation(in), in.readString(), in.readString(),
				Set.copyOf(in.readList(FrameReader::readString)), readAmount(in), in.readBoolean(), in.readLong());
		in.endArray();
		return worker;
	}

	static void writeAmount(FrameWriter out, ResourceAmount amount) {
		out.writeArrayHeader(3)
			.writeLong(amount.cpuMillis())
			.writeLong(amount.memoryMb())
			.writeLong(amount.accelerators());
	}

	static ResourceAmount readAmount(FrameReader in) {
		in.beginArray();
		ResourceAmount amount = new ResourceAmount(in.readLong(), in.readLong(), in.readLong());
		in.endArray();
		return amount;
	}

	private static void writeRunning(FrameWriter out, WorkerReport.Running run) {
		out.writeArrayHeader(4)
			.writeString(run.task().toString())
			.writeLong(run.run())
			.writeString(run.checkpoint())
			.writeLong(run.progressPercent());
	}

	private static WorkerReport.Running readRunning(FrameReader in) {
		in.beginArray();
		WorkerReport.Running run = new WorkerReport.Running(TaskId.parse(in.readString()), in.readInt(),
				in.readString(), in.readInt());
		in.endArray();
		return run;
	}

	private static void writeCrashed(FrameWriter out, WorkerReport.Crashed run) {
		out.writeArrayHeader(4);
		writeIncarnation(out, run.incarnation());
		out.writeString(run.task().toString()).writeLong(run.run()).writeLong(run.observedRunMillis());
	}

	private static WorkerReport.Crashed readCrashed(FrameReader in) {
		in.beginArray();
		WorkerReport.Crashed run = new WorkerReport.Crashed(readIncarnation(in), TaskId.parse(in.readString()),
				in.readInt(), in.readLong());
		in.endArray();
		return run;
	}

	private static void writeEnded(FrameWriter out, WorkerReport.Ended end) {
		out.writeArrayHeader(5).writeLong(end.sequence()).writeString(end.task().toString()).writeLong(end.run());
		out.writeEnum(end.outcome()).writeString(end.checkpoint());
	}

	private static WorkerReport.Ended readEnded(FrameReader in) {
		in.beginArray();
		WorkerReport.Ended end = new WorkerReport.Ended(in.readLong(), TaskId.parse(in.readString()), in.readInt(),
				in.readEnum(RunOutcome.class), in.readString());
		in.endArray();
		return end;
	}

}
