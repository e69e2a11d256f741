package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobPolicy;
import org.almondmount.model.Configuration;

/**
 * The state shared by all parts of a scheduler: the time of the event being handled, the
 * resulting commands, timers, policy and configuration. Mutable, not thread-safe.
 */
final class SchedulerContext {

	final JobPolicy policy;

	final Timers timers = new Timers();

	Configuration configuration = Configuration.EMPTY;

	long now;

	boolean startsAllowed = true;

	private List<JobCommand> commands = new ArrayList<>();

	SchedulerContext(JobPolicy policy) {
		this.policy = policy;
	}

	void send(JobCommand command) {
		this.commands.add(command);
	}

	List<JobCommand> takeCommands() {
		List<JobCommand> taken = this.commands;
		this.commands = new ArrayList<>();
		return taken;
	}

}
