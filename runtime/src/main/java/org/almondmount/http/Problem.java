package org.almondmount.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;

/**
 * Converts refusals to problem documents (RFC 9457).
 */
public final class Problem {

	/** The media type of a problem document. */
	public static final String MEDIA_TYPE = "application/problem+json";

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String TYPE_PREFIX = "urn:almondmount:refusal:";

	private Problem() {
	}

	/**
	 * Creates the answer for a refusal.
	 * @param refusal the refusal
	 * @return the complete answer
	 */
	public static HttpAnswer answer(Refusal refusal) {
		return answer(refusal, Map.of());
	}

	/**
	 * Creates the answer for a refusal.
	 * @param refusal the refusal
	 * @param identifiers further members of the document, such as {@code request} or
	 * {@code job}
	 * @return the complete answer
	 */
	public static HttpAnswer answer(Refusal refusal, Map<String, String> identifiers) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("content-type", MEDIA_TYPE);
		if (!refusal.retryAfter().isZero()) {
			headers.put("retry-after", Long.toString(roundUpToSeconds(refusal.retryAfter())));
		}
		return new HttpAnswer(refusal.reason().status(), headers, document(refusal, identifiers));
	}

	private static byte[] document(Refusal refusal, Map<String, String> identifiers) {
		RefusalReason reason = refusal.reason();
		ObjectNode document = JSON.createObjectNode();
		document.put("type", TYPE_PREFIX + reason.externalName());
		document.put("title", reason.externalName().replace('-', ' '));
		document.put("status", reason.status());
		document.put("detail", refusal.detail());
		document.put("kind", reason.externalName());
		document.put("ran", refusal.runState().externalName());
		document.put("remedy", reason.remedy());
		identifiers.forEach(document::put);
		try {
			return JSON.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			return "{}".getBytes(StandardCharsets.UTF_8);
		}
	}

	private static long roundUpToSeconds(Duration duration) {
		return Math.max(1, (duration.toMillis() + 999) / 1_000);
	}

}
