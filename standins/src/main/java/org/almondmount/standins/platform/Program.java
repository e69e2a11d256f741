package org.almondmount.standins.platform;

/**
 * What a task is asked to do, in words: {@code sleep 3s} for how long it works,
 * {@code fail} at its end, {@code ignore-checkpoint}, {@code use 2x} of what it declared.
 * Unknown words are ignored. Immutable.
 *
 * @param workMillis how long it works
 * @param fails whether its program fails at the end
 * @param ignoresCheckpoints whether it ignores orders to checkpoint
 * @param usage its use over what it declared
 */
record Program(long workMillis, boolean fails, boolean ignoresCheckpoints, double usage) {

	private static final long DEFAULT_MILLIS = 1_000;

	static Program parse(String text) {
		long millis = DEFAULT_MILLIS;
		double usage = 1;
		String[] words = text.trim().split("\\s+");
		for (int i = 0; i + 1 < words.length; i++) {
			if (words[i].equals("sleep")) {
				millis = millis(words[i + 1]);
			}
			else if (words[i].equals("use")) {
				usage = Double.parseDouble(words[i + 1].replace("x", ""));
			}
		}
		return new Program(millis, has(words, "fail"), has(words, "ignore-checkpoint"), usage);
	}

	private static boolean has(String[] words, String word) {
		for (String each : words) {
			if (each.equals(word)) {
				return true;
			}
		}
		return false;
	}

	private static long millis(String text) {
		if (text.endsWith("ms")) {
			return Long.parseLong(text.substring(0, text.length() - 2));
		}
		long number = Long.parseLong(text.substring(0, text.length() - 1));
		return switch (text.charAt(text.length() - 1)) {
			case 's' -> number * 1_000;
			case 'm' -> number * 60_000;
			case 'h' -> number * 3_600_000;
			default -> throw new NumberFormatException("no unit in " + text);
		};
	}

}
