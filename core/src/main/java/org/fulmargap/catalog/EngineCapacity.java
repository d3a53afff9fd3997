package org.fulmargap.catalog;

/**
 * What one model engine can take.
 *
 * @param slots the requests that run in one batch
 * @param cacheTokens the memory for running requests and cached prompts, in tokens
 */
public record EngineCapacity(int slots, long cacheTokens) {
}
