package org.almondmount.bench.cost;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.almondmount.workflow.WorkflowCommand;
import org.almondmount.workflow.WorkflowEvent;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What a worker's report and a round of placing cost the scheduler for workflows on a
 * full fleet with a backlog, with the flags of the entries.
 */
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgs = { "-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1" })
@Warmup(iterations = 1, time = 2)
@Measurement(iterations = 2, time = 3)
@State(Scope.Benchmark)
public class WorkflowDecisionBenchmark {

	/** Workers of the fleet; jobs grow with them. */
	@Param({ "11", "80", "300", "2000" })
	public int workers;

	private BusyFleet fleet;

	private WorkflowEvent event;

	private List<WorkflowCommand> commands;

	@Setup
	public void fill() {
		this.fleet = new BusyFleet(this.workers);
		this.fleet.fill();
	}

	@Setup(Level.Invocation)
	public void draw() {
		this.event = this.fleet.next();
	}

	@TearDown(Level.Invocation)
	public void answer() {
		this.fleet.take(this.commands);
	}

	/**
	 * A worker's report.
	 * @return the commands
	 */
	@Benchmark
	public List<WorkflowCommand> report() {
		this.commands = this.fleet.handle(this.event);
		return this.commands;
	}

	/**
	 * A worker's report and the round that places what waits.
	 * @return the commands of the round
	 */
	@Benchmark
	public List<WorkflowCommand> reportAndRound() {
		this.fleet.handle(this.event);
		this.commands = this.fleet.handle(new WorkflowEvent.PlacementDue());
		return this.commands;
	}

}
