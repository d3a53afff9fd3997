package org.fulmargap.placement;

/**
 * A part of a prompt.
 *
 * @param id the id of its text
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {
}
