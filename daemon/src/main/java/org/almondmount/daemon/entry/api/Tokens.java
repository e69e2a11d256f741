package org.almondmount.daemon.entry.api;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.model.CustomerId;

/**
 * The tokens of callers. Immutable and thread-safe.
 * <p>
 * A comparison that stops at the first difference, or at the first match, tells by its
 * time how much of a guess was right. So hashes of equal length are compared, and always
 * with every token.
 */
public final class Tokens {

	private static final String SCHEME = "bearer ";

	private final List<Known> known = new ArrayList<>();

	/**
	 * Makes the table of tokens.
	 * @param customers tokens of customers
	 * @param operators tokens of operators with the operator's name
	 */
	public Tokens(Map<String, CustomerId> customers, Map<String, String> operators) {
		customers.forEach((token, customer) -> this.known.add(new Known(hash(token), Caller.of(customer))));
		operators.forEach((token, name) -> this.known.add(new Known(hash(token), Caller.operator(name))));
	}

	/**
	 * Whose token it is.
	 * @param authorization the header's value, or null if there is none
	 * @return the caller, or empty if the token is not known
	 */
	public Optional<Caller> caller(String authorization) {
		if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		byte[] given = hash(authorization.substring(SCHEME.length()).trim());
		Caller found = null;
		for (Known each : this.known) {
			if (MessageDigest.isEqual(each.hash(), given)) {
				found = each.caller();
			}
		}
		return Optional.ofNullable(found);
	}

	private static byte[] hash(String token) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private record Known(byte[] hash, Caller caller) {
	}

}
