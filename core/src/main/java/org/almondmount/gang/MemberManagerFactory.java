package org.almondmount.gang;

import org.almondmount.gang.impl.DefaultMemberManager;

/**
 * Creates member managers.
 */
public final class MemberManagerFactory {

	private MemberManagerFactory() {
	}

	/**
	 * Creates a manager without members. It starts no task until it has received the
	 * state of its zone.
	 * @param policy its options
	 * @return the manager
	 */
	public static MemberManager create(MemberPolicy policy) {
		return new DefaultMemberManager(policy);
	}

}
