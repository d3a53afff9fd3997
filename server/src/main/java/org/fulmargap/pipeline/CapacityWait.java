package org.fulmargap.pipeline;

/**
 * Lets requests wait until an endpoint may have free capacity again.
 */
final class CapacityWait {

	/**
	 * Capacity also changes without a call that ends, for example when an allowance
	 * grows, so waiting requests look again after this time.
	 */
	private static final long LOOK_AGAIN_MS = 10;

	private long version;

	synchronized long version() {
		return this.version;
	}

	synchronized void changed() {
		this.version++;
		notifyAll();
	}

	synchronized boolean await(long seen, long limitMs) {
		if (this.version == seen) {
			try {
				wait(Math.max(1, Math.min(limitMs, LOOK_AGAIN_MS)));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return true;
	}

}
