package org.fulmargap.placement;

import java.util.List;

/**
 * The size of a generation request and the parts of its prompt.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the highest number of tokens to generate
 * @param parts the parts of the prompt in order
 */
public record Prompt(int promptTokens, int maxOutputTokens, List<PromptPart> parts) {

	/** The prompt of a request that generates nothing. */
	public static final Prompt NONE = new Prompt(0, 0, List.of());

	/**
	 * Creates a prompt.
	 */
	public Prompt {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the id of the last part that other requests may share. This is the last but
	 * one, because the last part belongs to one request or session. A single part counts
	 * as shared.
	 * @return the id, or an empty string if there are no parts
	 */
	public String affinityKey() {
		if (this.parts.isEmpty()) {
			return "";
		}
		return this.parts.get(Math.max(0, this.parts.size() - 2)).id();
	}

}
