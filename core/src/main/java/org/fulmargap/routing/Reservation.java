package org.fulmargap.routing;

import org.fulmargap.config.EndpointSpec;

/**
 * A slot for one request on an endpoint. Closing it without a result releases the slot
 * and records nothing, for example after a cancelled call.
 */
public interface Reservation extends AutoCloseable {

	/**
	 * Returns the name of the endpoint.
	 * @return the name
	 */
	String endpoint();

	/**
	 * Returns the endpoint.
	 * @return the specification of the endpoint
	 */
	EndpointSpec spec();

	/**
	 * Records a complete answer.
	 * @param durationMs the duration of the call in milliseconds
	 * @param cachedTokens the number of prompt tokens that the endpoint found in its
	 * cache
	 * @param incarnation the incarnation that the endpoint reported, empty if none
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void succeeded(long durationMs, int cachedTokens, String incarnation, long nowMs);

	/**
	 * Records a failed call.
	 * @param failure how the call failed
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void failed(CallFailure failure, long nowMs);

	/**
	 * Releases the slot. Further calls have no effect.
	 */
	@Override
	void close();

}
