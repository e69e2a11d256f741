package org.almondmount.requests.impl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.model.RequestId;

/**
 * Explanations of the decisions about the most recent requests. Bounded; not thread-safe.
 */
final class ExplanationLog {

	private static final int MAX_REQUESTS = 2_000;

	private static final int MAX_EXPLANATIONS_PER_REQUEST = 16;

	private final Map<RequestId, List<String>> explanations = new LinkedHashMap<>();

	void add(RequestId request, String explanation) {
		List<String> ofRequest = this.explanations.computeIfAbsent(request, (id) -> new ArrayList<>(4));
		if (ofRequest.size() < MAX_EXPLANATIONS_PER_REQUEST) {
			ofRequest.add(explanation);
		}
		if (this.explanations.size() > MAX_REQUESTS) {
			RequestId oldest = this.explanations.keySet().iterator().next();
			this.explanations.remove(oldest);
		}
	}

	List<String> get(RequestId request) {
		return List.copyOf(this.explanations.getOrDefault(request, List.of()));
	}

}
