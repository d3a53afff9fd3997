package org.fulmargap.placement;

/**
 * What one other entry VM has sent to an endpoint and not got an answer for yet.
 *
 * @param inFlight the requests in flight
 * @param prefillTokens the prompt tokens of requests that have no first event yet
 * @param reportedAtMs when the report arrived, in milliseconds
 */
public record PeerLoad(int inFlight, long prefillTokens, long reportedAtMs) {
}
