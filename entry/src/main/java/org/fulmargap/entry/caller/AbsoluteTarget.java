package org.fulmargap.entry.caller;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The target of a request that names its host, which HTTP/1.1 servers have to accept.
 *
 * @param host the host, with the port if it has one; it goes before the Host header
 * @param path the path and the query as the caller sent them
 */
record AbsoluteTarget(String host, String path) {

	private static final Pattern FORM = Pattern.compile("https?://([^/?#@]+)(/.*|\\?.*)?", Pattern.CASE_INSENSITIVE);

	/**
	 * Reads a target.
	 * @param target the target as it stands in the request line
	 * @return the parts, or empty if the target names no host
	 */
	static Optional<AbsoluteTarget> of(String target) {
		if (target.startsWith("/")) {
			return Optional.empty();
		}
		Matcher form = FORM.matcher(target);
		if (!form.matches()) {
			return Optional.empty();
		}
		String path = (form.group(2) != null) ? form.group(2) : "";
		return Optional.of(new AbsoluteTarget(form.group(1), (path.startsWith("/")) ? path : '/' + path));
	}

}
