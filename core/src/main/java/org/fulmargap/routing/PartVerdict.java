package org.fulmargap.routing;

import java.util.Set;

/**
 * The decision to refuse requests whose prompts hold certain parts.
 *
 * @param parts the parts; a request is refused if its prompt holds all of them
 * @param sinceMs when the first crash that the decision rests on happened, in
 * milliseconds
 * @param untilMs when the decision expires, in milliseconds
 */
public record PartVerdict(Set<String> parts, long sinceMs, long untilMs) {

	/**
	 * Creates a verdict with a copy of the set.
	 */
	public PartVerdict {
		parts = Set.copyOf(parts);
	}

}
