package org.fulmargap.entry.endpoint;

import java.util.regex.Pattern;

/**
 * Finds the status line of an answer in a text that should hold none.
 */
public final class StatusLine {

	/**
	 * The status is followed by a space or the end of the line, unlike the address that a
	 * {@code Via} header has in its place.
	 */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(\\s|$)");

	private StatusLine() {
	}

	/**
	 * Returns whether a text contains a status line.
	 * @param text the text, for example the value of a header
	 * @return {@code true} if it contains one at any place
	 */
	public static boolean isIn(String text) {
		return STATUS_LINE.matcher(text).find();
	}

}
