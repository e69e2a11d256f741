package org.almondmount.requests.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestPolicy;

/**
 * State shared by the components of the router. Not thread-safe.
 */
final class RouterState {

	private final RequestPolicy policy;

	private final Map<RequestId, RequestRecord> requests = new HashMap<>();

	private final ExplanationLog explanationLog = new ExplanationLog();

	private final RetryBudget retryBudget;

	private final TargetTable targets;

	private final FairQueue queue;

	private Configuration configuration;

	private List<RequestCommand> commands = new ArrayList<>();

	RouterState(RequestPolicy policy, RandomGenerator random) {
		this.policy = policy;
		this.retryBudget = new RetryBudget(policy.retryRatio(), policy.retryReserve());
		this.targets = new TargetTable(policy, random);
		this.queue = new FairQueue(this::weight);
	}

	RequestPolicy policy() {
		return this.policy;
	}

	Map<RequestId, RequestRecord> requests() {
		return this.requests;
	}

	ExplanationLog explanationLog() {
		return this.explanationLog;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

	TargetTable targets() {
		return this.targets;
	}

	FairQueue queue() {
		return this.queue;
	}

	/**
	 * The accepted configuration.
	 * @return the configuration, or {@code null} before the first one
	 */
	Configuration configuration() {
		return this.configuration;
	}

	// A process with an outdated configuration may still send it. Accepting a lower
	// revision could put a zone back in service that operators took out.
	void acceptConfiguration(Configuration offered) {
		if (this.configuration == null || offered.revision() >= this.configuration.revision()) {
			this.configuration = offered;
		}
	}

	void addCommand(RequestCommand command) {
		this.commands.add(command);
	}

	List<RequestCommand> takeCommands() {
		List<RequestCommand> taken = this.commands;
		this.commands = new ArrayList<>();
		return taken;
	}

	private double weight(CustomerId customer) {
		return (this.configuration != null) ? Admission.weight(this.configuration, customer) : 1;
	}

}
