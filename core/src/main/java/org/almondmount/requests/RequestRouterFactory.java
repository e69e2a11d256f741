package org.almondmount.requests;

import java.util.random.RandomGenerator;

import org.almondmount.requests.impl.DefaultRequestRouter;

/**
 * Creates request routers.
 */
public final class RequestRouterFactory {

	private RequestRouterFactory() {
	}

	/**
	 * Creates a router without a configuration and without targets.
	 * @param policy its options
	 * @param random a seeded source; the same seed and the same events produce the same
	 * commands
	 * @return the router
	 */
	public static RequestRouter create(RequestPolicy policy, RandomGenerator random) {
		return new DefaultRequestRouter(policy, random);
	}

}
