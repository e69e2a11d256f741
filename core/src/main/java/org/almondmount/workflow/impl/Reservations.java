package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.sharing.CustomerShare;
import org.almondmount.workflow.sharing.ReservationScope;

/**
 * The reservations of one placement round. Mutable; owned by the placement round.
 */
final class Reservations {

	/**
	 * Maximum number of reservations that hold off all other work, made for the first
	 * units that do not fit. More would leave workers idle on the basis of estimates.
	 */
	private static final int MAX_RESERVATIONS = 2;

	/**
	 * Maximum number of further reservations, for customers below their entitlement. To
	 * plan one takes a look at all runs of the fleet.
	 */
	private static final int MAX_ENTITLED_RESERVATIONS = 8;

	/**
	 * Maximum share of the fleet's capacity that may be kept idle by reservations while
	 * other work would fit.
	 */
	static final double MAX_RESERVED_SHARE = 0.5;

	private final List<Reservation> reservations = new ArrayList<>();

	private final Set<String> claimants = new HashSet<>();

	private int countForAll;

	void clear() {
		this.reservations.clear();
		this.claimants.clear();
		this.countForAll = 0;
	}

	List<Reservation> all() {
		return this.reservations;
	}

	/**
	 * Claims a reservation. A customer below its entitlement claims one for the first of
	 * its units only.
	 * @param unit a unit that does not fit
	 * @param share the share of its customer
	 * @return the scope of the reservation, or empty if there is none for the unit
	 */
	Optional<ReservationScope> claim(WorkUnit unit, CustomerShare share) {
		String customer = CustomerSharing.customerOf(unit);
		if (this.countForAll < MAX_RESERVATIONS) {
			this.claimants.add(customer);
			return Optional.of(ReservationScope.ALL);
		}
		boolean entitled = share.isBelowEntitlement()
				&& this.reservations.size() - this.countForAll < MAX_ENTITLED_RESERVATIONS;
		return (entitled && this.claimants.add(customer)) ? Optional.of(ReservationScope.ABOVE_ENTITLEMENT)
				: Optional.empty();
	}

	void add(Reservation reservation) {
		this.reservations.add(reservation);
		if (reservation.scope() == ReservationScope.ALL) {
			this.countForAll++;
		}
	}

	/**
	 * Whether the reservations would together keep too much of a unit's workers idle if
	 * there were one more for the unit.
	 * @param unit the unit
	 * @return whether more than the maximum share would be reserved
	 */
	boolean wouldReserveTooMuch(WorkUnit unit) {
		ResourceAmount total = ResourceAmount.NONE;
		for (Worker worker : unit.workers()) {
			total = total.plus(worker.capacity());
		}
		Set<Worker> workers = new HashSet<>(unit.workers());
		ResourceAmount reserved = unit.allocation().times(unit.tasks().size());
		for (Reservation reservation : this.reservations) {
			long count = reservation.placement().values().stream().filter(workers::contains).count();
			reserved = reserved.plus(reservation.unit().allocation().times(count));
		}
		return reserved.dominantShareOf(total) > MAX_RESERVED_SHARE;
	}

	/**
	 * Returns the reservations whose room a unit may not take.
	 * @param unit the unit
	 * @param share the share of its customer
	 * @param scopes which scopes count
	 * @return the reservations
	 */
	List<Reservation> holdingOff(WorkUnit unit, CustomerShare share, Predicate<ReservationScope> scopes) {
		List<Reservation> holding = new ArrayList<>();
		for (Reservation reservation : this.reservations) {
			if (scopes.test(reservation.scope()) && reservation.holdsOff(unit, share)) {
				holding.add(reservation);
			}
		}
		return holding;
	}

}
