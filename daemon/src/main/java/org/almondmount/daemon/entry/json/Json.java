package org.almondmount.daemon.entry.json;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.almondmount.model.AlmondmountException;

/**
 * Reads and writes JSON documents. Thread-safe.
 * <p>
 * {@link #read} is strict, for what people send: unknown and repeated fields, text in
 * place of numbers and anything after the document are faults with their place.
 * {@link #readRow} ignores unknown fields, so that an older process can read the rows of
 * a newer one during an upgrade.
 */
public final class Json {

	private static final int DEEPEST = 32;

	private static final JsonMapper STRICT = JsonMapper.builder(factory())
		.addModule(new CoreTypes())
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.disable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
		.build();

	private static final JsonMapper LENIENT = JsonMapper.builder()
		.addModule(new CoreTypes())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private Json() {
	}

	/**
	 * Reads a document that somebody sent.
	 * @param <T> the document's type
	 * @param body the bytes
	 * @param type a record
	 * @return the document
	 * @throws DocumentException naming the path, line and column of the first fault
	 */
	public static <T> T read(byte[] body, Class<T> type) {
		try {
			T document = STRICT.readValue(body, type);
			if (document == null) {
				throw new DocumentException("$ (line 1, column 1)", "is null; send a JSON object");
			}
			return document;
		}
		catch (JsonMappingException ex) {
			String path = path(ex);
			throw new DocumentException(path + Place.find(body, path).orElse(place(ex.getLocation())), reason(ex));
		}
		catch (JsonProcessingException ex) {
			throw new DocumentException("$" + place(ex.getLocation()), ex.getOriginalMessage() + "; send valid JSON");
		}
		catch (IOException ex) {
			throw new DocumentException("$", ex.getMessage() + "; send valid JSON");
		}
	}

	/**
	 * Adds line and column to a fault that was found after the document had been read.
	 * @param body the document
	 * @param fault a fault whose location is a path
	 * @return the message with the place, if the document has such a field
	 */
	public static String located(byte[] body, AlmondmountException fault) {
		String path = fault.location();
		if (!path.startsWith("$") || path.endsWith(")")) {
			return fault.getMessage();
		}
		return path + Place.find(body, path).orElse("") + fault.getMessage().substring(path.length());
	}

	/**
	 * Reads a row that an entry wrote.
	 * @param <T> the row's type
	 * @param key the row's key, for the message
	 * @param value the row's JSON text
	 * @param type a record
	 * @return the row
	 * @throws DocumentException if it is no such row
	 */
	public static <T> T readRow(String key, String value, Class<T> type) {
		try {
			return LENIENT.readValue(value, type);
		}
		catch (JsonProcessingException ex) {
			throw new DocumentException(key, ex.getOriginalMessage() + "; restore the row from a backup");
		}
	}

	/**
	 * Writes a row.
	 * @param row a record
	 * @return its JSON text
	 */
	public static String write(Object row) {
		try {
			return LENIENT.writeValueAsString(row);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Writes a document.
	 * @param document a record, list or map
	 * @return its bytes, with a line break at the end
	 */
	public static byte[] bytes(Object document) {
		return (write(document) + "\n").getBytes(StandardCharsets.UTF_8);
	}

	private static JsonFactory factory() {
		return JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build())
			.build();
	}

	private static String path(JsonMappingException fault) {
		StringBuilder path = new StringBuilder("$");
		for (JsonMappingException.Reference step : fault.getPath()) {
			if (step.getFieldName() != null) {
				path.append('.').append(step.getFieldName());
			}
			else {
				path.append('[').append(step.getIndex()).append(']');
			}
		}
		return path.toString();
	}

	private static String place(JsonLocation location) {
		return (location != null) ? Place.words(location) : "";
	}

	private static String reason(JsonMappingException fault) {
		if (fault instanceof UnrecognizedPropertyException unknown) {
			return "unknown field; allowed are " + unknown.getKnownPropertyIds();
		}
		for (Throwable cause = fault.getCause(); cause != null; cause = cause.getCause()) {
			if (cause instanceof AlmondmountException own) {
				return own.getMessage();
			}
		}
		String message = fault.getOriginalMessage();
		return (message.length() > 300) ? message.substring(0, 300) : message;
	}

}
