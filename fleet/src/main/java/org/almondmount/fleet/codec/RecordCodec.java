package org.almondmount.fleet.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.model.InvalidValueException;
import org.almondmount.term.TermRow;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.JobRecord.FailedAttempt;
import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.JobRecord.StepKey;
import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.QueueDeclaration;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;

/**
 * Encodes stored rows as JSON text. Defaults are omitted and progress is written as
 * arrays, since each write and read of the store is charged by its size.
 */
public final class RecordCodec {

	private static final ObjectMapper JSON = new ObjectMapper();

	private RecordCodec() {
	}

	public static String write(TermRow row) {
		ObjectNode out = JSON.createObjectNode();
		out.put("holder", row.holder()).put("address", row.address()).put("epoch", row.epoch());
		out.put("commit", row.commit()).put("lengthMillis", row.lengthMillis()).put("released", row.released());
		return out.toString();
	}

	/**
	 * Reads the row of a term.
	 * @param text the value of the row
	 * @return the term
	 * @throws InvalidValueException if the text is not valid JSON
	 */
	public static TermRow readTerm(String text) {
		JsonNode in = parse("term", text);
		return new TermRow(in.path("holder").asText(), in.path("address").asText(), in.path("epoch").asLong(),
				in.path("commit").asLong(), in.path("lengthMillis").asLong(), in.path("released").asBoolean());
	}

	public static String write(Workflow job) {
		ObjectNode out = JSON.createObjectNode();
		out.put("id", job.id()).put("queue", job.queue()).put("customer", job.customer());
		out.put("program", job.program()).put("acceptedAt", job.acceptedAtMillis());
		job.declaration().ifPresent((declaration) -> writeDeclaration(out.putArray("declared"), declaration));
		if (job.schedule().hasDueTimes()) {
			ObjectNode schedule = out.putObject("schedule");
			schedule.put("first", job.schedule().firstDueMillis()).put("interval", job.schedule().intervalMillis());
			schedule.put("times", job.schedule().repetitions());
		}
		ArrayNode steps = out.putArray("steps");
		job.steps().forEach((step) -> steps.add(writeStep(step)));
		return out.toString();
	}

	/**
	 * Reads a job.
	 * @param text the value of the row
	 * @return the job
	 * @throws InvalidValueException if the text is not valid JSON
	 */
	public static Workflow readWorkflow(String text) {
		JsonNode in = parse("job", text);
		JsonNode scheduleNode = in.path("schedule");
		Workflow.Schedule schedule = scheduleNode.isMissingNode() ? Workflow.Schedule.ONCE
				: new Workflow.Schedule(scheduleNode.path("first").asLong(), scheduleNode.path("interval").asLong(),
						scheduleNode.path("times").asInt());
		return new Workflow(in.path("id").asText(), in.path("queue").asText(), in.path("customer").asText(),
				in.path("program").asText(), readList(in.path("steps"), RecordCodec::readStep), schedule,
				in.path("acceptedAt").asLong(), readDeclaration(in.path("queue").asText(), in.path("declared")));
	}

	public static String write(JobRecord job) {
		ObjectNode out = JSON.createObjectNode();
		out.put("job", job.job()).put("phase", job.phase().name());
		ArrayNode done = out.putArray("done");
		job.doneSteps().forEach((key) -> done.addArray().add(key.occurrence()).add(key.step()));
		ArrayNode tasks = out.putArray("tasks");
		job.tasks().forEach((task) -> tasks.add(writeTask(task)));
		job.declaration().ifPresent((declaration) -> {
			out.put("queue", declaration.queue().name());
			writeDeclaration(out.putArray("declared"), declaration);
		});
		return out.toString();
	}

	/**
	 * Reads the progress of a job.
	 * @param text the value of the row
	 * @return the progress
	 * @throws InvalidValueException if the text is not valid JSON
	 */
	public static JobRecord readProgress(String text) {
		JsonNode in = parse("progress", text);
		return new JobRecord(in.path("job").asText(), JobPhase.valueOf(in.path("phase").asText()),
				readList(in.path("done"), (key) -> new StepKey(key.path(0).asInt(), key.path(1).asInt())),
				readList(in.path("tasks"), RecordCodec::readTask),
				readDeclaration(in.path("queue").asText(), in.path("declared")));
	}

	private static void writeDeclaration(ArrayNode out, QueueDeclaration declaration) {
		JobQueue queue = declaration.queue();
		out.add(declaration.revision()).add(queue.host()).add(queue.pathPrefix()).add(queue.pool());
		out.add(queue.priority()).add(queue.maxAttempts());
		out.add(queue.criticalPathFactor()).add(queue.latencyAllowanceMillis());
		out.add(queue.anonymousAllowed() ? 1 : 0).add(queue.adviceRequired() ? 1 : 0);
	}

	private static Optional<QueueDeclaration> readDeclaration(String queue, JsonNode in) {
		if (in.isMissingNode()) {
			return Optional.empty();
		}
		return Optional.of(new QueueDeclaration(in.path(0).asLong(),
				new JobQueue(queue, in.path(1).asText(), in.path(2).asText(), in.path(3).asText(), in.path(4).asInt(),
						in.path(5).asInt(), in.path(6).asDouble(), in.path(7).asLong(), in.path(8).asInt() == 1,
						in.path(9).asInt() == 1)));
	}

	private static ObjectNode writeStep(Step step) {
		ObjectNode out = JSON.createObjectNode();
		out.put("count", step.taskCount());
		out.putArray("demand")
			.add(step.demand().cpuMillis())
			.add(step.demand().memoryMb())
			.add(step.demand().accelerators());
		out.put("estimate", step.estimateMillis());
		ArrayNode dependencies = out.putArray("after");
		step.dependencies().forEach(dependencies::add);
		putTrue(out, "checkpoints", step.savesCheckpoints());
		putTrue(out, "gang", step.gangScheduled());
		putTrue(out, "duplicates", step.duplicatesAllowed());
		Step.Placement placement = step.placement();
		if (!placement.equals(Step.Placement.ANYWHERE)) {
			ObjectNode placementNode = out.putObject("placement");
			placementNode.put("label", placement.requiredLabel()).put("dataRack", placement.dataRack());
			placementNode.put("sameRack", placement.sameRack()).put("mostPerWorker", placement.maxPerWorker());
		}
		Step.ServiceSpec service = step.service();
		if (!service.equals(Step.ServiceSpec.NONE)) {
			ObjectNode serviceNode = out.putObject("service");
			serviceNode.put("lasting", service.longRunning()).put("image", service.image());
			serviceNode.put("latencyTarget", service.latencyTargetMillis()).put("fillsIdle", service.idleCpuOnly());
			serviceNode.put("mayMiss", service.maxUnavailable());
		}
		return out;
	}

	private static Step readStep(JsonNode in) {
		JsonNode demand = in.path("demand");
		ResourceAmount amount = new ResourceAmount(demand.path(0).asLong(), demand.path(1).asLong(),
				demand.path(2).asLong());
		JsonNode placementNode = in.path("placement");
		Step.Placement placement = placementNode.isMissingNode() ? Step.Placement.ANYWHERE
				: new Step.Placement(placementNode.path("label").asText(), placementNode.path("dataRack").asText(),
						placementNode.path("sameRack").asBoolean(), placementNode.path("mostPerWorker").asInt());
		JsonNode serviceNode = in.path("service");
		Step.ServiceSpec service = serviceNode.isMissingNode() ? Step.ServiceSpec.NONE
				: new Step.ServiceSpec(serviceNode.path("lasting").asBoolean(), serviceNode.path("image").asText(),
						serviceNode.path("latencyTarget").asLong(), serviceNode.path("fillsIdle").asBoolean(),
						serviceNode.path("mayMiss").asInt());
		return new Step(in.path("count").asInt(), amount, in.path("estimate").asLong(),
				readList(in.path("after"), JsonNode::asInt), in.path("checkpoints").asBoolean(),
				in.path("gang").asBoolean(), placement, in.path("duplicates").asBoolean(), service);
	}

	private static ArrayNode writeTask(TaskRecord task) {
		ArrayNode out = JSON.createArrayNode();
		out.add(task.step().occurrence()).add(task.step().step()).add(task.index());
		out.add(task.lastRun()).add(task.failures()).add(task.done() ? 1 : 0).add(task.checkpoint());
		ArrayNode runs = out.addArray();
		for (OpenRun run : task.openRuns()) {
			runs.addArray()
				.add(run.number())
				.add(run.target())
				.add(run.incarnation().worker())
				.add(run.incarnation().startedAtMillis())
				.add(run.epoch());
		}
		boolean hasFailedAttempts = !task.failedAttempts().isEmpty();
		boolean hasCrashes = hasFailedAttempts || !task.crashes().isEmpty();
		if (task.lastFailedRun() != 0 || hasCrashes) {
			out.add(task.lastFailedRun());
		}
		if (hasCrashes) {
			writeCrashes(out.addArray(), task.crashes());
		}
		if (hasFailedAttempts) {
			writeFailedAttempts(out.addArray(), task.failedAttempts());
		}
		return out;
	}

	private static void writeFailedAttempts(ArrayNode out, List<FailedAttempt> attempts) {
		for (FailedAttempt attempt : attempts) {
			out.addArray()
				.add(attempt.run())
				.add(attempt.incarnation().worker())
				.add(attempt.incarnation().startedAtMillis())
				.add(attempt.workedMillis());
		}
	}

	private static FailedAttempt readFailedAttempt(JsonNode in) {
		WorkerIncarnation incarnation = new WorkerIncarnation(in.path(1).asText(), in.path(2).asLong());
		return new FailedAttempt(in.path(0).asInt(), incarnation, in.path(3).asLong());
	}

	private static void writeCrashes(ArrayNode out, List<Crash> crashes) {
		for (Crash crash : crashes) {
			out.addArray()
				.add(crash.run())
				.add(crash.incarnation().worker())
				.add(crash.incarnation().startedAtMillis())
				.add(crash.confirmed() ? 1 : 0)
				.add(crash.observedRunMillis())
				.add(crash.blamePercent());
		}
	}

	private static Crash readCrash(JsonNode in) {
		WorkerIncarnation incarnation = new WorkerIncarnation(in.path(1).asText(), in.path(2).asLong());
		return new Crash(in.path(0).asInt(), incarnation, in.path(3).asInt() == 1, in.path(4).asLong(),
				in.path(5).asInt());
	}

	private static TaskRecord readTask(JsonNode in) {
		StepKey step = new StepKey(in.path(0).asInt(), in.path(1).asInt());
		return new TaskRecord(step, in.path(2).asInt(), in.path(3).asInt(), in.path(4).asInt(), in.path(5).asInt() == 1,
				in.path(6).asText(), readList(in.path(7), RecordCodec::readRun), in.path(8).asInt(),
				readList(in.path(9), RecordCodec::readCrash), readList(in.path(10), RecordCodec::readFailedAttempt));
	}

	private static OpenRun readRun(JsonNode in) {
		return new OpenRun(in.path(0).asInt(), in.path(1).asText(),
				new WorkerIncarnation(in.path(2).asText(), in.path(3).asLong()), in.path(4).asLong());
	}

	private static void putTrue(ObjectNode out, String field, boolean value) {
		if (value) {
			out.put(field, true);
		}
	}

	private static <T> List<T> readList(JsonNode array, Function<JsonNode, T> element) {
		List<T> values = new ArrayList<>(array.size());
		array.forEach((node) -> values.add(element.apply(node)));
		return values;
	}

	private static JsonNode parse(String kind, String text) {
		try {
			return JSON.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidValueException(kind, "is not valid JSON; check what else writes to the store");
		}
	}

}
