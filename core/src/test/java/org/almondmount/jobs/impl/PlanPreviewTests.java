package org.almondmount.jobs.impl;

import java.util.List;

import org.almondmount.model.Adjacency;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.plan.Intent;
import org.almondmount.plan.PlanEffects;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlanPreviewTests {

	private final VirtualFleet fleet = VirtualFleet.of(2, 2, 3);

	@Test
	void guaranteesThatFitTogetherAreAccepted() {
		PlanEffects effects = previewPutCustomer("one",
				new GuaranteedShape(4, VirtualFleet.gang(3, 8, Adjacency.RACK)));
		assertThat(effects.refusal()).isEmpty();
		assertThat(effects.remarks()).isNotEmpty();
	}

	@Test
	void shapeThatDoesNotFitIsReportedWithTheLargestThatWould() {
		this.fleet.putCustomer("other", 1, new GuaranteedShape(4, VirtualFleet.gang(1, 8, Adjacency.WORKER)));
		PlanEffects effects = previewPutCustomer("one",
				new GuaranteedShape(4, VirtualFleet.gang(3, 8, Adjacency.RACK)));
		assertThat(effects.refusal()).isPresent();
		assertThat(effects.refusal().get().reason()).isEqualTo(RefusalReason.GUARANTEE_DOES_NOT_FIT);
		assertThat(effects.refusal().get().detail()).contains("customer one: ", "of 4 gangs fit", "gang of 3 members",
				"has 2 members", "in rack");
	}

	@Test
	void customerMayReduceGuaranteesWhileAZoneIsOut() {
		GuaranteedShape two = new GuaranteedShape(2, VirtualFleet.gang(3, 8, Adjacency.RACK));
		this.fleet.putCustomer("one", 1, two);
		this.fleet.putCustomer("other", 1, two);
		this.fleet.setZoneState("z0", ZoneState.OUT);
		assertThat(previewPutCustomer("one", two, new GuaranteedShape(1, two.shape())).refusal()).isPresent();
		assertThat(previewPutCustomer("one", new GuaranteedShape(1, two.shape())).refusal()).isEmpty();
	}

	@Test
	void zoneOutPlanListsMovesStopsAndGuaranteesAtRisk() {
		this.fleet.putCustomer("one", 1, new GuaranteedShape(3, VirtualFleet.gang(3, 8, Adjacency.RACK)));
		JobId first = this.fleet.submit("a", VirtualFleet.spec("two", VirtualFleet.gang(6, 8, Adjacency.ZONE)),
				600_000);
		JobId second = this.fleet.submit("b", VirtualFleet.spec("two", VirtualFleet.gang(6, 8, Adjacency.ZONE)),
				600_000);
		this.fleet.runFor(500);
		PlanEffects effects = this.fleet.scheduler.preview(this.fleet.now,
				new Intent.SetZone(new ZoneId("z0"), ZoneState.OUT));
		assertThat(effects.moves()).isEmpty();
		assertThat(effects.stops()).hasSize(1).isSubsetOf(List.of(first, second));
		assertThat(effects.guaranteesAtRisk()).hasSize(1);
		assertThat(this.fleet.countStartedTasks(first) + this.fleet.countStartedTasks(second)).isEqualTo(12);
	}

	private PlanEffects previewPutCustomer(String name, GuaranteedShape... shapes) {
		return this.fleet.scheduler.preview(this.fleet.now,
				new Intent.PutCustomer(new Customer(new CustomerId(name), 1, List.of(shapes))));
	}

}
