package org.almondmount.slots;

import org.almondmount.slots.impl.DefaultSlotGate;

/**
 * Creates slot gates.
 */
public final class SlotGateFactory {

	private SlotGateFactory() {
	}

	/**
	 * Creates a gate without entries that assumes its zone to be in service.
	 * @param policy its options
	 * @return the gate
	 */
	public static SlotGate create(SlotPolicy policy) {
		return new DefaultSlotGate(policy);
	}

}
