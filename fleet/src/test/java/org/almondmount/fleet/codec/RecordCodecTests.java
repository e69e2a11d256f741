package org.almondmount.fleet.codec;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.InvalidValueException;
import org.almondmount.term.TermRow;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.QueueDeclaration;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RecordCodecTests {

	@Test
	void aJobIsReadAsItWasWritten() {
		Step plain = new Step(2, new ResourceAmount(52_000, 270_000, 8), 900, List.of(), false, true,
				new Step.Placement("a", "r1-3", true, 2), false, Step.ServiceSpec.NONE);
		Step service = new Step(1, ResourceAmount.NONE, 0, List.of(0), true, false, Step.Placement.ANYWHERE, true,
				new Step.ServiceSpec(true, "image", 40, true, 1));
		Workflow job = new Workflow("5c0e7a21d94b36f8", "q", "c", "line\n\"quoted\"", List.of(plain, service),
				new Workflow.Schedule(1_000, 500, 4), 77);
		assertThat(RecordCodec.readWorkflow(RecordCodec.write(job))).isEqualTo(job);
	}

	@Test
	void theDeclarationOfAQueueIsReadAsItWasWritten() {
		JobQueue queue = new JobQueue("q", "h.example", "/q/", "pool", 2, 3, 1.5, 800, true, false);
		Optional<QueueDeclaration> declaration = Optional.of(new QueueDeclaration(7, queue));
		Step step = new Step(1, ResourceAmount.NONE, 900, List.of(), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
		Workflow job = new Workflow("j", "q", "c", "p", List.of(step), Workflow.Schedule.ONCE, 77, declaration);
		JobRecord record = new JobRecord("j", JobPhase.QUEUED, List.of(), List.of(), declaration);
		assertThat(RecordCodec.readWorkflow(RecordCodec.write(job))).isEqualTo(job);
		assertThat(RecordCodec.readProgress(RecordCodec.write(record))).isEqualTo(record);
	}

	@Test
	void progressIsReadAsItWasWritten() {
		JobRecord.OpenRun run = new JobRecord.OpenRun(3, "target-1", new WorkerIncarnation("w", 12), 9);
		JobRecord record = new JobRecord("j", JobPhase.RUNNING, List.of(new JobRecord.StepKey(0, 1)),
				List.of(new JobRecord.TaskRecord(new JobRecord.StepKey(0, 0), 4, 3, 1, false, "c1", List.of(run)),
						new JobRecord.TaskRecord(new JobRecord.StepKey(0, 0), 0, 3, 1, false, "", List.of(), 2,
								List.of(new JobRecord.Crash(3, new WorkerIncarnation("w", 7), true, 12, 60)))));
		assertThat(RecordCodec.readProgress(RecordCodec.write(record))).isEqualTo(record);
	}

	@Test
	void failedAttemptsAreReadAsTheyWereWritten() {
		JobRecord.FailedAttempt attempt = new JobRecord.FailedAttempt(2, new WorkerIncarnation("w", 7), 40);
		JobRecord record = new JobRecord("j", JobPhase.RUNNING, List.of(),
				List.of(new JobRecord.TaskRecord(new JobRecord.StepKey(0, 0), 0, 2, 1, false, "", List.of(), 0,
						List.of(), List.of(attempt))));
		assertThat(RecordCodec.readProgress(RecordCodec.write(record))).isEqualTo(record);
	}

	@Test
	void aTermIsReadAsItWasWritten() {
		TermRow row = new TermRow("entry-1-x", "10.0.0.1:7000", 4, 17, 2_000, true);
		assertThat(RecordCodec.readTerm(RecordCodec.write(row))).isEqualTo(row);
	}

	@Test
	void invalidRecordsAreRefusedByExceptionType() {
		assertThatThrownBy(() -> RecordCodec.readWorkflow("no json")).isInstanceOf(InvalidValueException.class);
		assertThatThrownBy(() -> RecordCodec.readWorkflow("{}")).isInstanceOf(InvalidValueException.class);
		assertThatThrownBy(() -> RecordCodec.readProgress("{}")).isInstanceOf(IllegalArgumentException.class);
	}

}
