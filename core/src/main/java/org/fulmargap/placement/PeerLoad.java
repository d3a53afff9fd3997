package org.fulmargap.placement;

/**
 * The load of an endpoint by the requests of one other entry VM.
 *
 * @param inFlight the number of requests in flight
 * @param prefillTokens the number of prompt tokens that wait for prefill
 * @param reportedAtMs when the report was received, in milliseconds
 */
public record PeerLoad(int inFlight, long prefillTokens, long reportedAtMs) {
}
