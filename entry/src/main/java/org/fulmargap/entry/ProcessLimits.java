package org.fulmargap.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The limits with which this process was started, for its first log line.
 */
final class ProcessLimits {

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private final List<String> lines;

	/**
	 * Reads the limits.
	 * @param lines the lines of the kernel's table of limits
	 */
	ProcessLimits(List<String> lines) {
		this.lines = lines;
	}

	/**
	 * Reads the limits of this process.
	 * @return the limits; all unknown if the kernel doesn't tell
	 */
	static ProcessLimits own() {
		try {
			return new ProcessLimits(Files.readAllLines(LIMITS));
		}
		catch (IOException | RuntimeException ex) {
			return new ProcessLimits(List.of());
		}
	}

	/**
	 * Returns the soft limit of a resource.
	 * @param resource its name in the table
	 * @return the limit, or {@code unknown}
	 */
	String soft(String resource) {
		for (String line : this.lines) {
			if (line.startsWith(resource)) {
				return line.substring(resource.length()).strip().split(" ", 2)[0];
			}
		}
		return "unknown";
	}

}
