package org.almondmount.requests.impl;

/**
 * Allows retries in proportion to first attempts. Not thread-safe.
 * <p>
 * Without it an outage multiplies the load: each failing request comes back as several,
 * and the targets that still work drown. Since every retry spends what only first
 * attempts earn, retries stay under the ratio plus the reserve whatever fails.
 */
final class RetryBudget {

	private final double tokensPerDeposit;

	private final double maxTokens;

	private double tokens;

	RetryBudget(double ratio, int reserve) {
		this.tokensPerDeposit = ratio;
		this.maxTokens = reserve;
		this.tokens = reserve;
	}

	void deposit() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerDeposit);
	}

	boolean tryWithdraw() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
