package org.fulmargap.standin;

import java.util.Objects;

/**
 * Options of an endpoint stand-in.
 *
 * @param name the name of the endpoint
 * @param port the port to listen on, zero for any free port
 * @param maxConcurrency the number of requests that run at the same time when warm
 * @param maxQueue the number of requests that may be queued
 * @param initialCapacity the number of requests that run at the same time when cold
 * @param doublingMs the busy time after which the capacity of a cold endpoint doubles, in
 * milliseconds
 * @param whenColdOverloaded what happens when the requests at a cold endpoint exceed its
 * capacity
 * @param baseMs the minimum duration of a request in milliseconds
 * @param promptUsPerToken the time per prompt token that is not in the prefix cache, in
 * microseconds
 * @param tokenMs the time per generated token in milliseconds
 * @param cacheBlocks the size of the prefix cache in blocks of 16 tokens
 * @param loadLagMs the sampling interval of load reports in milliseconds, zero to sample
 * on request; the reported sample is the last but one
 */
public record EndpointOptions(String name, int port, int maxConcurrency, int maxQueue, int initialCapacity,
		long doublingMs, ColdOverload whenColdOverloaded, long baseMs, long promptUsPerToken, long tokenMs,
		int cacheBlocks, long loadLagMs) {

	/**
	 * Checks the options.
	 */
	public EndpointOptions {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(whenColdOverloaded, "whenColdOverloaded");
		if (maxConcurrency < 1 || initialCapacity < 1 || initialCapacity > maxConcurrency) {
			throw new IllegalArgumentException("initialCapacity must be from 1 to maxConcurrency");
		}
		if (maxQueue < 0 || doublingMs < 1 || baseMs < 0 || promptUsPerToken < 0 || tokenMs < 0 || cacheBlocks < 1
				|| loadLagMs < 0) {
			throw new IllegalArgumentException(
					"times and sizes must not be negative, and doublingMs and cacheBlocks must be positive");
		}
	}

	/**
	 * Returns the options of an endpoint that is warm from the start.
	 * @param name the name of the endpoint
	 * @param port the port to listen on, zero for any free port
	 * @return options for 32 concurrent and 256 queued requests, 5 ms per request and 1
	 * ms per generated token
	 */
	public static EndpointOptions warm(String name, int port) {
		return new EndpointOptions(name, port, 32, 256, 32, 1_000, ColdOverload.FAIL, 5, 50, 1, 4_096, 50);
	}

	/**
	 * Returns a copy that starts cold.
	 * @param initial the number of requests that run at the same time when cold
	 * @param overload what happens when the requests exceed that capacity
	 * @return the copy
	 */
	public EndpointOptions cold(int initial, ColdOverload overload) {
		return new EndpointOptions(this.name, this.port, this.maxConcurrency, this.maxQueue, initial, this.doublingMs,
				overload, this.baseMs, this.promptUsPerToken, this.tokenMs, this.cacheBlocks, this.loadLagMs);
	}

	EndpointOptions withAddress(String newName, int newPort) {
		return new EndpointOptions(newName, newPort, this.maxConcurrency, this.maxQueue, this.initialCapacity,
				this.doublingMs, this.whenColdOverloaded, this.baseMs, this.promptUsPerToken, this.tokenMs,
				this.cacheBlocks, this.loadLagMs);
	}

	/**
	 * What happens when the requests at a cold endpoint exceed its capacity.
	 */
	public enum ColdOverload {

		/** The request fails with status 500. */
		FAIL,

		/** The endpoint crashes. */
		DIE;

		boolean isCrash() {
			return this == DIE;
		}

	}

}
