package org.almondmount.gang;

import org.almondmount.gang.impl.DefaultMemberManager;

/**
 * Makes member keepers.
 */
public final class MemberManagerFactory {

	private MemberManagerFactory() {
	}

	/**
	 * Makes a keeper that holds nothing and starts nothing until it has heard its zone.
	 * @param policy its options
	 * @return the keeper
	 */
	public static MemberManager create(MemberPolicy policy) {
		return new DefaultMemberManager(policy);
	}

}
