package org.fulmargap.pipeline;

/**
 * Blocks requests until an endpoint may have free capacity again.
 */
final class CapacityWait {

	/**
	 * Capacity can also grow without the end of a call, for example when the concurrency
	 * limit of an endpoint is raised. Waiting requests therefore check again after this
	 * time.
	 */
	private static final long RECHECK_INTERVAL_MS = 10;

	private long version;

	synchronized long version() {
		return this.version;
	}

	synchronized void signalChange() {
		this.version++;
		notifyAll();
	}

	synchronized boolean await(long seenVersion, long limitMs) {
		if (this.version == seenVersion) {
			try {
				wait(Math.max(1, Math.min(limitMs, RECHECK_INTERVAL_MS)));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return true;
	}

}
