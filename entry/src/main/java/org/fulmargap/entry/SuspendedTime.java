package org.fulmargap.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;

/**
 * Finds out how long the machine was suspended: the steady clock of the JVM stands still
 * meanwhile, the kernel's time since the start of the machine does not.
 */
final class SuspendedTime {

	private static final Path UPTIME = Path.of("/proc/uptime");

	private static final double MS_PER_SECOND = 1_000;

	/**
	 * The shortest suspension that counts, in milliseconds: more than the time between
	 * reading the two clocks.
	 */
	private static final long MIN_SUSPENSION_MS = 100;

	private final LongSupplier uptimeMs;

	private final boolean known;

	private long countedMs;

	/**
	 * Creates an instance that counts from now on.
	 * @param uptimeMs the time since the start of the machine in milliseconds, with
	 * suspensions; negative if unknown
	 * @param steadyMs the current time of the steady clock in milliseconds
	 */
	SuspendedTime(LongSupplier uptimeMs, long steadyMs) {
		this.uptimeMs = uptimeMs;
		long startUptimeMs = uptimeMs.getAsLong();
		this.known = startUptimeMs >= 0;
		this.countedMs = startUptimeMs - steadyMs;
	}

	/**
	 * Returns how long the machine was suspended since the last call.
	 * @param steadyMs the current time of the steady clock in milliseconds
	 * @return the time in milliseconds; 0 if it was not, or if it is unknown
	 */
	long passedMs(long steadyMs) {
		long nowUptimeMs = this.uptimeMs.getAsLong();
		long suspendedMs = nowUptimeMs - steadyMs - this.countedMs;
		if (!this.known || nowUptimeMs < 0 || suspendedMs < MIN_SUSPENSION_MS) {
			return 0;
		}
		this.countedMs += suspendedMs;
		return suspendedMs;
	}

	static long uptimeMs() {
		try {
			String uptime = Files.readString(UPTIME);
			return Math.round(Double.parseDouble(uptime.substring(0, uptime.indexOf(' '))) * MS_PER_SECOND);
		}
		catch (IOException | RuntimeException ex) {
			// Without the kernel's time a rest takes longer after a suspension.
			return -1;
		}
	}

}
