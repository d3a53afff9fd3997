package org.fulmargap.endpoint;

/**
 * The complete answer of an endpoint to one attempt.
 *
 * @param output the result of the stage; for a stream, the text of the tokens that this
 * attempt delivered
 * @param tokens the number of tokens of the whole answer, including those of earlier
 * attempts of a resumed stream
 * @param cachedTokens the number of prompt tokens that the endpoint found in its cache
 * @param incarnation the incarnation that the endpoint reported, or empty
 * @param leaving whether the endpoint reported that it is leaving
 * @param durationMs the duration of the call in milliseconds
 */
public record StageAnswer(String output, int tokens, int cachedTokens, String incarnation, boolean leaving,
		long durationMs) {
}
