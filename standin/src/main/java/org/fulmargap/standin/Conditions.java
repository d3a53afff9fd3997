package org.fulmargap.standin;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for conditions of other processes.
 */
public final class Conditions {

	private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long LIMIT_NS = TimeUnit.SECONDS.toNanos(60);

	private Conditions() {
	}

	/**
	 * Waits until a condition holds.
	 * @param what what is waited for, for the error message
	 * @param condition the condition; an {@link IOException} counts as not fulfilled
	 * @throws Exception if the condition throws or does not hold within 60 s
	 */
	public static void await(String what, Callable<Boolean> condition) throws Exception {
		long endNs = System.nanoTime() + LIMIT_NS;
		while (System.nanoTime() < endNs) {
			try {
				if (condition.call()) {
					return;
				}
			}
			catch (IOException ex) {
				// The process is not there yet, or not any more.
			}
			LockSupport.parkNanos(POLL_NS);
		}
		throw new IllegalStateException("timed out waiting for " + what);
	}

}
