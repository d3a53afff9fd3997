package org.fulmargap.placement;

/**
 * The endpoint that was chosen for a request, with the inputs of the decision.
 *
 * @param endpoint the endpoint
 * @param costMs the expected time to the first byte of the answer, in milliseconds
 * @param candidates the number of endpoints that could have been chosen
 * @param cachedTokens the prompt tokens that it is believed to keep
 */
public record Choice(Endpoint endpoint, double costMs, int candidates, int cachedTokens) {
}
