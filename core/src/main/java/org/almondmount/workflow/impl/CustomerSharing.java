package org.almondmount.workflow.impl;

import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.LoadDecision;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.sharing.CustomerShare;
import org.almondmount.workflow.sharing.CustomerShares;
import org.almondmount.workflow.sharing.LogThrottle;
import org.almondmount.workflow.sharing.ShareOrder;
import org.almondmount.workflow.sharing.SharedOrder;

/**
 * Applies the shares of customers to the units of a placement round, and logs where they
 * change it. Owned by the placement round.
 * <p>
 * While the feature is off, no customer has a share, and the order is that of
 * {@link PendingUnits}.
 */
final class CustomerSharing {

	private static final ShareOrder SHARE_ORDER = ShareOrder.WITHIN_PRIORITY;

	private final SchedulerState state;

	private final LogThrottle waitLines = new LogThrottle();

	private Optional<CustomerShares> shares = Optional.empty();

	CustomerSharing(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Begins a placement round with the runs that hold room now.
	 * @param units the waiting units in the order without shares
	 * @return the order in which they are placed
	 */
	SharedOrder<WorkUnit> beginRound(List<WorkUnit> units) {
		this.shares = this.state.has(SchedulerFeature.SHARE_BETWEEN_CUSTOMERS) ? Optional.of(sharesNow())
				: Optional.empty();
		ShareOrder order = this.shares.isPresent() ? SHARE_ORDER : ShareOrder.NONE;
		return new SharedOrder<>(units, PendingUnits.GROUP_ORDER,
				(unit) -> isShared(order, unit) ? Optional.of(customerOf(unit)) : Optional.empty(),
				(customer) -> share(customer).level());
	}

	private CustomerShare share(String customer) {
		return this.shares.map((known) -> known.of(customer)).orElse(CustomerShare.NONE);
	}

	void onPlaced(WorkUnit unit) {
		this.shares.ifPresent((known) -> known.add(customerOf(unit), unit.allocation().times(unit.tasks().size())));
	}

	/**
	 * Logs and counts that a unit waits because of the share of its customer, once a
	 * second for each customer.
	 * @param unit the unit
	 * @param waitingCustomer the customer that goes before
	 */
	void explainWait(WorkUnit unit, String waitingCustomer) {
		if (!this.waitLines.isDue(customerOf(unit), this.state.steadyMillis())) {
			return;
		}
		CustomerShare share = share(customerOf(unit));
		this.waitLines.record(customerOf(unit), this.state.steadyMillis());
		this.state.count(LoadDecision.CUSTOMER_OVER_SHARE);
		this.state.explain("customer-over-share", "customer", customerOf(unit), "job", unit.step().job().id(),
				"usePercent", share.usePercent(), "entitlementPercent", share.entitlementPercent(), "waitingCustomer",
				waitingCustomer);
	}

	static String customerOf(WorkUnit unit) {
		return unit.step().job().workflow().customer();
	}

	// Starved work has waited so long that it goes first whoever it belongs to, and
	// expired work is of no use to any customer. Services never starve by that measure,
	// so they keep their order.
	private static boolean isShared(ShareOrder order, WorkUnit unit) {
		if (unit.guaranteed() || unit.step().spec().longRunning()) {
			return false;
		}
		Timeliness timeliness = unit.deadline().timeliness();
		return (timeliness == Timeliness.IN_TIME && order.ordersTimely())
				|| (timeliness == Timeliness.LATE && order.ordersLate());
	}

	private CustomerShares sharesNow() {
		ResourceAmount fleet = ResourceAmount.NONE;
		for (Worker worker : this.state.workers().values()) {
			if (worker.lapsed()) {
				continue;
			}
			fleet = fleet.plus(worker.capacity());
		}
		CustomerShares now = new CustomerShares(fleet, this.state.configuration().customers());
		for (Worker worker : this.state.workers().values()) {
			for (Run run : worker.runs()) {
				now.add(run.task().step().job().workflow().customer(), run.allocation());
			}
		}
		return now;
	}

}
