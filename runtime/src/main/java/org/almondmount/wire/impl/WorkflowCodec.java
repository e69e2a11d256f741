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
 * The values of messages about workflows. Each is a list of fields; new fields are only
 * ever added at the end.
 */
final class WorkflowCodec {

	private WorkflowCodec() {
	}

	static void writeLife(FrameWriter out, WorkerIncarnation life) {
		out.array(2).text(life.worker()).number(life.startedAtMillis());
	}

	static WorkerIncarnation readLife(FrameReader in) {
		in.enter();
		WorkerIncarnation life = new WorkerIncarnation(in.text(), in.number());
		in.leave();
		return life;
	}

	static void writeReport(FrameWriter out, WorkerReport report) {
		out.array(6).text(report.target());
		writeDescription(out, report.worker());
		out.number(report.epoch());
		out.list(report.running(), WorkflowCodec::writeRunning);
		out.list(report.ended(), WorkflowCodec::writeEnded);
		out.list(report.crashed(), WorkflowCodec::writeCrashed);
	}

	static WorkerReport readReport(FrameReader in) {
		in.enter();
		WorkerReport report = new WorkerReport(in.text(), readDescription(in), in.number(),
				in.list(WorkflowCodec::readRunning), in.list(WorkflowCodec::readEnded),
				in.hasMore() ? in.list(WorkflowCodec::readCrashed) : List.of());
		in.leave();
		return report;
	}

	private static void writeDescription(FrameWriter out, WorkerDescription worker) {
		out.array(7);
		writeLife(out, worker.incarnation());
		out.text(worker.pool()).text(worker.zone());
		out.list(worker.labels(), FrameWriter::text);
		writeAmount(out, worker.capacity());
		out.flag(worker.draining()).number(worker.remainingMillis());
	}

	private static WorkerDescription readDescription(FrameReader in) {
		in.enter();
		WorkerDescription worker = new WorkerDescription(readLife(in), in.text(), in.text(),
				Set.copyOf(in.list(FrameReader::text)), readAmount(in), in.flag(), in.number());
		in.leave();
		return worker;
	}

	static void writeAmount(FrameWriter out, ResourceAmount amount) {
		out.array(3).number(amount.cpuMillis()).number(amount.memoryMb()).number(amount.accelerators());
	}

	static ResourceAmount readAmount(FrameReader in) {
		in.enter();
		ResourceAmount amount = new ResourceAmount(in.number(), in.number(), in.number());
		in.leave();
		return amount;
	}

	private static void writeRunning(FrameWriter out, WorkerReport.Running run) {
		out.array(4).text(run.task().toString()).number(run.run()).text(run.checkpoint()).number(run.progressPercent());
	}

	private static WorkerReport.Running readRunning(FrameReader in) {
		in.enter();
		WorkerReport.Running run = new WorkerReport.Running(TaskId.parse(in.text()), in.smallNumber(), in.text(),
				in.smallNumber());
		in.leave();
		return run;
	}

	private static void writeCrashed(FrameWriter out, WorkerReport.Crashed run) {
		out.array(4);
		writeLife(out, run.incarnation());
		out.text(run.task().toString()).number(run.run()).number(run.observedRunMillis());
	}

	private static WorkerReport.Crashed readCrashed(FrameReader in) {
		in.enter();
		WorkerReport.Crashed run = new WorkerReport.Crashed(readLife(in), TaskId.parse(in.text()), in.smallNumber(),
				in.number());
		in.leave();
		return run;
	}

	private static void writeEnded(FrameWriter out, WorkerReport.Ended end) {
		out.array(5).number(end.sequence()).text(end.task().toString()).number(end.run());
		out.constant(end.outcome()).text(end.checkpoint());
	}

	private static WorkerReport.Ended readEnded(FrameReader in) {
		in.enter();
		WorkerReport.Ended end = new WorkerReport.Ended(in.number(), TaskId.parse(in.text()), in.smallNumber(),
				in.constant(RunOutcome.class), in.text());
		in.leave();
		return end;
	}

}
