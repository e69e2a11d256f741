package org.almondmount.workflow.sharing;

/**
 * Whose work a reservation holds off, unless the work ends before the reserved room is
 * needed.
 */
public enum ReservationScope {

	/** All other work. */
	ALL {

		@Override
		public boolean holdsOff(CustomerShare share) {
			return true;
		}

	},

	/** Only the work of customers that use more than they are entitled to. */
	ABOVE_ENTITLEMENT {

		@Override
		public boolean holdsOff(CustomerShare share) {
			return share.isAboveEntitlement();
		}

	};

	/**
	 * Whether work is held off.
	 * @param share the share of its customer
	 * @return whether it may not take the reserved room
	 */
	public abstract boolean holdsOff(CustomerShare share);

}
