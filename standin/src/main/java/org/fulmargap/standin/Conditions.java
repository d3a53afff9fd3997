package org.fulmargap.standin;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for conditions that other processes fulfil.
 */
public final class Conditions {

	private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long TIMEOUT_NS = TimeUnit.SECONDS.toNanos(60);

	private Conditions() {
	}

	/**
	 * Waits until a condition holds.
	 * @param description the condition in words, for the error message
	 * @param condition the condition; an {@link IOException} counts as not fulfilled
	 * @throws Exception if the condition throws or does not hold within 60 s
	 */
	public static void await(String description, Callable<Boolean> condition) throws Exception {
		long endNs = System.nanoTime() + TIMEOUT_NS;
		while (System.nanoTime() < endNs) {
			try {
				if (condition.call()) {
					return;
				}
			}
			catch (IOException ex) {
				// The process does not respond; it is starting or has stopped.
			}
			LockSupport.parkNanos(POLL_NS);
		}
		throw new IllegalStateException("timed out waiting for " + description);
	}

}
