package org.fulmargap.cli;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads and writes values in lines of key=value pairs, the log format of entry VMs.
 */
final class KeyValueLine {

	private KeyValueLine() {
	}

	/**
	 * Quotes a value if necessary.
	 * @param text the value
	 * @return the value, quoted and escaped if it is empty or contains spaces, control
	 * characters, double quotes or equals signs
	 */
	static String quote(String text) {
		if (!text.isEmpty() && text.chars().noneMatch((c) -> c <= ' ' || c == '"' || c == '=')) {
			return text;
		}
		return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r") + '"';
	}

	/**
	 * Parses a line. Words that are not pairs are skipped; of a repeated key, the first
	 * value counts.
	 * @param line the line
	 * @return the values by key, in the order of the line
	 */
	static Map<String, String> parse(String line) {
		Map<String, String> pairs = new LinkedHashMap<>();
		int at = 0;
		while (at < line.length()) {
			int equals = line.indexOf('=', at);
			if (equals < 0) {
				break;
			}
			String key = line.substring(line.lastIndexOf(' ', equals) + 1, equals);
			StringBuilder value = new StringBuilder();
			at = equals + 1;
			if (at < line.length() && line.charAt(at) == '"') {
				at = unquote(line, at + 1, value);
			}
			else {
				while (at < line.length() && line.charAt(at) != ' ') {
					value.append(line.charAt(at++));
				}
			}
			if (!key.isEmpty()) {
				pairs.putIfAbsent(key, value.toString());
			}
		}
		return pairs;
	}

	private static int unquote(String line, int from, StringBuilder value) {
		int at = from;
		while (at < line.length() && line.charAt(at) != '"') {
			char c = line.charAt(at++);
			if (c == '\\' && at < line.length()) {
				char escaped = line.charAt(at++);
				c = switch (escaped) {
					case 'n' -> '\n';
					case 'r' -> '\r';
					default -> escaped;
				};
			}
			value.append(c);
		}
		return at + 1;
	}

}
