import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON: objects as maps, arrays as lists, numbers as Long or Double.
 */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		Object value = json.value();
		json.skipSpace();
		if (json.at != text.length()) {
			throw new IllegalArgumentException("text after the value at " + json.at);
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) parse(text);
	}

	@SuppressWarnings("unchecked")
	static List<Object> list(Object value) {
		return (value == null) ? List.of() : (List<Object>) value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (Map<String, Object>) value;
	}

	static long number(Object value) {
		return (value instanceof Number number) ? number.longValue() : 0;
	}

	static Map<String, Object> of(Object... keysAndValues) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < keysAndValues.length; i += 2) {
			map.put((String) keysAndValues[i], keysAndValues[i + 1]);
		}
		return map;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(out, value);
		return out.toString();
	}

	private static void write(StringBuilder out, Object value) {
		if (value instanceof Map<?, ?> map) {
			String separator = "{";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				write(out, entry.getKey());
				out.append(':');
				write(out, entry.getValue());
				separator = ",";
			}
			out.append(map.isEmpty() ? "{}" : "}");
		}
		else if (value instanceof List<?> list) {
			String separator = "[";
			for (Object element : list) {
				out.append(separator);
				write(out, element);
				separator = ",";
			}
			out.append(list.isEmpty() ? "[]" : "]");
		}
		else if (value instanceof String string) {
			writeString(out, string);
		}
		else {
			out.append(value);
		}
	}

	private static void writeString(StringBuilder out, String string) {
		out.append('"');
		for (char c : string.toCharArray()) {
			if (c == '"' || c == '\\') {
				out.append('\\').append(c);
			}
			else if (c < ' ') {
				out.append(String.format("\\u%04x", (int) c));
			}
			else {
				out.append(c);
			}
		}
		out.append('"');
	}

	private Object value() {
		skipSpace();
		char c = this.text.charAt(this.at);
		return switch (c) {
			case '{' -> readObject();
			case '[' -> readList();
			case '"' -> readString();
			case 't' -> literal("true", Boolean.TRUE);
			case 'f' -> literal("false", Boolean.FALSE);
			case 'n' -> literal("null", null);
			default -> readNumber();
		};
	}

	private Map<String, Object> readObject() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != '}') {
			String key = readString();
			skipSpace();
			this.at++;
			map.put(key, value());
			skipSeparator();
		}
		this.at++;
		return map;
	}

	private List<Object> readList() {
		List<Object> list = new ArrayList<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != ']') {
			list.add(value());
			skipSeparator();
		}
		this.at++;
		return list;
	}

	private void skipSeparator() {
		skipSpace();
		if (this.text.charAt(this.at) == ',') {
			this.at++;
			skipSpace();
		}
	}

	private String readString() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> out.append('\n');
				case 't' -> out.append('\t');
				case 'r' -> out.append('\r');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escaped);
			}
		}
		this.at++;
		return out.toString();
	}

	private Object literal(String word, Object value) {
		if (!this.text.startsWith(word, this.at)) {
			throw new IllegalArgumentException("unknown word at " + this.at);
		}
		this.at += word.length();
		return value;
	}

	private Object readNumber() {
		int start = this.at;
		while (this.at < this.text.length() && "+-.eE0123456789".indexOf(this.text.charAt(this.at)) >= 0) {
			this.at++;
		}
		String number = this.text.substring(start, this.at);
		if (number.matches("-?\\d+")) {
			return Long.valueOf(number);
		}
		return Double.valueOf(number);
	}

	private void skipSpace() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

}
