package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.fleet.DeclarationReader;
import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.JobQueue;

/**
 * Reads the declarations of operators in the format of this simulation.
 */
final class SimulatedDeclarationReader implements DeclarationReader {

	@Override
	public String table() {
		return FleetSimulation.DECLARATION_TABLE;
	}

	@Override
	public Optional<FleetConfiguration> configuration(Map<String, String> rows) {
		if (!rows.containsKey("config")) {
			return Optional.empty();
		}
		List<JobQueue> queues = new ArrayList<>();
		for (int priority = 0; priority < 3; priority++) {
			queues.add(new JobQueue("q" + priority, "host", "/q" + priority + "/", "pool", priority, 2, 3, 1_000, false,
					false));
		}
		return Optional.of(new FleetConfiguration(Long.parseLong(rows.get("config")), queues, List.of("pool"),
				List.of(new FleetCustomer("one", Set.of("k1"), 16), new FleetCustomer("two", Set.of("k2"), 8))));
	}

	@Override
	public Set<String> zonesOut(Map<String, String> rows) {
		Set<String> out = new HashSet<>();
		for (String key : rows.keySet()) {
			if (key.startsWith(FleetSimulation.ZONE_OUT_KEY_PREFIX)) {
				out.add(key.substring(FleetSimulation.ZONE_OUT_KEY_PREFIX.length()));
			}
		}
		return out;
	}

}
