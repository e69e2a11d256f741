package org.almondmount.daemon.entry.json;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Finds where a path such as {@code $.guarantees[0].members} stands in a document. By the
 * time that a wrong field is noticed the parser stands elsewhere, often at the end.
 */
final class Place {

	private static final JsonFactory JSON = new JsonFactory();

	private Place() {
	}

	/**
	 * Finds a path.
	 * @param body the document
	 * @param path the path
	 * @return the place in words, or empty if the document has no such field
	 */
	static Optional<String> find(byte[] body, String path) {
		String pointer = path.substring(1).replace('.', '/').replace('[', '/').replace("]", "");
		if (pointer.isEmpty()) {
			return Optional.empty();
		}
		try (JsonParser parser = JSON.createParser(body)) {
			while (parser.nextToken() != null) {
				boolean starts = parser.currentToken() == JsonToken.FIELD_NAME || parser.currentToken().isScalarValue()
						|| parser.currentToken().isStructStart();
				if (starts && parser.getParsingContext().pathAsPointer().toString().equals(pointer)) {
					return Optional.of(words(parser.currentTokenLocation()));
				}
			}
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		return Optional.empty();
	}

	static String words(JsonLocation location) {
		return " (line " + location.getLineNr() + ", column " + location.getColumnNr() + ")";
	}

}
