package org.fulmargap.endpoint;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Bounded waits for tests.
 */
public final class Waiting {

	private static final long TIMEOUT_MS = 10_000;

	private Waiting() {
	}

	public static void until(BooleanSupplier condition) {
		long endMs = System.currentTimeMillis() + TIMEOUT_MS;
		while (!condition.getAsBoolean()) {
			if (System.currentTimeMillis() > endMs) {
				throw new AssertionError("the condition did not hold within " + TIMEOUT_MS + " ms");
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
	}

	/**
	 * Waits for a fixed time, to simulate slow work or to let time pass.
	 * @param durationMs the duration in milliseconds
	 */
	public static void sleep(long durationMs) {
		long endMs = System.currentTimeMillis() + durationMs;
		until(() -> System.currentTimeMillis() >= endMs);
	}

}
