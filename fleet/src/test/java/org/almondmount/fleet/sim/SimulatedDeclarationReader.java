package org.almondmount.fleet.sim;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.fleet.DeclarationReader;
import org.almondmount.workflow.FleetConfiguration;

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
		return Optional.ofNullable(rows.get("config")).map(SimulatedDeclaration::read);
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
