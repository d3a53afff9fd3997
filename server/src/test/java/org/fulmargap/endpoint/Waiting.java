package org.fulmargap.endpoint;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Waits in tests.
 */
public final class Waiting {

	private static final long LIMIT_MS = 10_000;

	private Waiting() {
	}

	public static void until(BooleanSupplier condition) {
		long endMs = System.currentTimeMillis() + LIMIT_MS;
		while (!condition.getAsBoolean()) {
			if (System.currentTimeMillis() > endMs) {
				throw new AssertionError("the condition did not hold within " + LIMIT_MS + " ms");
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
	}

	/**
	 * Simulates work that takes time.
	 * @param durationMs the duration in milliseconds
	 */
	public static void pass(long durationMs) {
		long endMs = System.currentTimeMillis() + durationMs;
		until(() -> System.currentTimeMillis() >= endMs);
	}

}
