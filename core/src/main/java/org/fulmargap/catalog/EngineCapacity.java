package org.fulmargap.catalog;

/**
 * The capacity of one model engine.
 *
 * @param slots the highest number of requests that run in one batch
 * @param cacheTokens the memory for running requests and cached prompts, in tokens
 */
public record EngineCapacity(int slots, long cacheTokens) {
}
