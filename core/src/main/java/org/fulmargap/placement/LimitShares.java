package org.fulmargap.placement;

/**
 * Divides the rate that an endpoint takes from all entry VMs together. In any time the
 * VMs with a share send at most the sum of their shares and what their buckets hold, so
 * both the sum and the number of VMs with a share are bounded.
 */
@FunctionalInterface
public interface LimitShares {

	/**
	 * The part of a rate that is used. The rest covers VMs that disagree on the number of
	 * entry VMs.
	 */
	double SAFETY = 0.9;

	/**
	 * The least rate in requests per second, also of an endpoint that takes less: only
	 * its answers tell when its limit ends.
	 */
	double MIN_PER_SECOND = 0.1;

	/** The number of VMs that have a share of the lowest rate. */
	int MIN_HOLDERS = 2;

	/** The number of further VMs with a share for each request per second. */
	double HOLDERS_PER_REQUEST = 2;

	/** For a VM that sends all requests of the fleet to an endpoint. */
	LimitShares WHOLE = (endpoint, limitPerSecond, nowMs) -> usablePerSecond(limitPerSecond);

	/**
	 * Returns the share of this VM.
	 * @param endpoint the name of the endpoint
	 * @param limitPerSecond the rate that it named, in requests per second
	 * @param nowMs the current time in milliseconds
	 * @return the share in requests per second; 0 if other VMs have all shares
	 */
	double perSecond(String endpoint, double limitPerSecond, long nowMs);

	/**
	 * Returns the rate that all VMs together use.
	 * @param limitPerSecond the rate that the endpoint named, in requests per second
	 * @return the rate in requests per second
	 */
	static double usablePerSecond(double limitPerSecond) {
		return Math.max(MIN_PER_SECOND, limitPerSecond * SAFETY);
	}

	/**
	 * Returns the largest number of VMs that have a share.
	 * @param limitPerSecond the rate that the endpoint named, in requests per second
	 * @return the number of VMs
	 */
	static int maxHolders(double limitPerSecond) {
		return (int) Math.min(Integer.MAX_VALUE, MIN_HOLDERS + Math.floor(HOLDERS_PER_REQUEST * limitPerSecond));
	}

}
