package org.almondmount.daemon.cli;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * JSON documents for people: lists of objects as tables, objects as lines.
 */
final class DocumentText {

	private static final String GAP = "  ";

	private static final int LONGEST_CELL = 60;

	private static final Set<String> SENTENCES = Set.of("what", "why");

	private DocumentText() {
	}

	/**
	 * A document for people.
	 * @param document the document
	 * @return lines without a line end after the last
	 */
	static String of(JsonNode document) {
		StringBuilder text = new StringBuilder();
		if (isTable(document)) {
			table(text, document);
		}
		else if (document.isObject()) {
			lines(text, document);
		}
		else {
			text.append(Console.printable(cell(document)));
		}
		return text.toString().stripTrailing();
	}

	private static void lines(StringBuilder text, JsonNode object) {
		int width = 0;
		for (Iterator<String> names = object.fieldNames(); names.hasNext();) {
			width = Math.max(width, names.next().length());
		}
		for (Map.Entry<String, JsonNode> field : object.properties()) {
			JsonNode value = field.getValue();
			String name = Console.printable(field.getKey());
			if (isTable(value)) {
				text.append(name).append(":\n");
				table(text, value);
			}
			else if (value.isArray() && value.size() > 1) {
				text.append(name).append(":\n");
				value.forEach((each) -> text.append(GAP).append(Console.printable(cell(each))).append('\n'));
			}
			else {
				text.append(pad(name + ":", width + 1)).append(' ').append(Console.printable(cell(value))).append('\n');
			}
		}
	}

	private static void table(StringBuilder text, JsonNode rows) {
		if (rows.isEmpty()) {
			text.append(GAP).append("none\n");
			return;
		}
		Set<String> columns = new LinkedHashSet<>();
		rows.forEach((row) -> row.fieldNames().forEachRemaining(columns::add));
		List<List<String>> lines = new ArrayList<>();
		lines.add(List.copyOf(columns));
		for (JsonNode row : rows) {
			List<String> line = new ArrayList<>();
			columns.forEach((column) -> line.add(cut(column, Console.printable(cell(row.path(column))))));
			lines.add(line);
		}
		for (List<String> line : lines) {
			for (int i = 0; i < line.size(); i++) {
				text.append((i > 0) ? GAP : "").append(pad(line.get(i), width(lines, i)));
			}
			while (text.charAt(text.length() - 1) == ' ') {
				text.setLength(text.length() - 1);
			}
			text.append('\n');
		}
	}

	private static boolean isTable(JsonNode node) {
		if (!node.isArray()) {
			return false;
		}
		for (JsonNode each : node) {
			if (!each.isObject()) {
				return false;
			}
		}
		return true;
	}

	private static String cell(JsonNode value) {
		if (value.isArray()) {
			List<String> parts = new ArrayList<>();
			value.forEach((each) -> parts.add(cell(each)));
			return String.join(", ", parts);
		}
		if (value.isObject()) {
			List<String> parts = new ArrayList<>();
			value.properties().forEach((field) -> parts.add(field.getKey() + "=" + cell(field.getValue())));
			return String.join(" ", parts);
		}
		return (value.isMissingNode() || value.isNull()) ? "-" : value.asText();
	}

	private static int width(List<List<String>> lines, int column) {
		int width = 0;
		for (List<String> line : lines) {
			width = Math.max(width, line.get(column).length());
		}
		return width;
	}

	private static String pad(String text, int width) {
		return text + " ".repeat(Math.max(0, width - text.length()));
	}

	private static String cut(String column, String text) {
		if (SENTENCES.contains(column)) {
			return text;
		}
		return (text.length() > LONGEST_CELL) ? text.substring(0, LONGEST_CELL - 1) + "…" : text;
	}

}
