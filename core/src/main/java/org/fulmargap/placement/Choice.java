package org.fulmargap.placement;

/**
 * The endpoint chosen for a request, with the figures behind the decision.
 *
 * @param endpoint the endpoint
 * @param costMs the estimated cost of the endpoint, in milliseconds
 * @param candidates the number of endpoints that could have been chosen
 * @param cachedTokens the number of prompt tokens expected in its prefix cache
 */
public record Choice(Endpoint endpoint, double costMs, int candidates, int cachedTokens) {
}
