package org.fulmargap.routing;

import org.fulmargap.config.EndpointSpec;

/**
 * One request reserved on an endpoint. Closing it without a result frees the slot and
 * records nothing, as for a cancelled call.
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
	 * @param cachedTokens prompt tokens that the endpoint took from its cache
	 * @param incarnation the incarnation that the endpoint reported, or empty
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void succeeded(long durationMs, int cachedTokens, String incarnation, long nowMs);

	/**
	 * Records a failed call.
	 * @param failure how the call failed
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void failed(CallFailure failure, long nowMs);

	/**
	 * Frees the slot. Further calls have no effect.
	 */
	@Override
	void close();

}
