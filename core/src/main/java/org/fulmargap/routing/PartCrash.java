package org.fulmargap.routing;

import java.util.Set;

/**
 * The crash of an engine as seen by one entry VM.
 *
 * @param process identifies one start of the engine's process
 * @param atMs when the connections to it were lost, in milliseconds
 * @param parts the shared prompt parts of the requests that were in flight there and had
 * not been answered yet
 */
public record PartCrash(String process, long atMs, Set<String> parts) {

	/**
	 * Creates a report with a copy of the set.
	 */
	public PartCrash {
		parts = Set.copyOf(parts);
	}

}
