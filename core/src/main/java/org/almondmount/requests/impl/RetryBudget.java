package org.almondmount.requests.impl;

/**
 * Allows retries in proportion to first attempts. Not thread-safe.
 * <p>
 * Without a budget an outage multiplies the load, because each failing request is
 * repeated several times and overloads the remaining targets. Every retry withdraws a
 * token and only first attempts deposit them, so retries never exceed the ratio plus the
 * reserve.
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
