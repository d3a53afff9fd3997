package org.fulmargap.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

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
	 * Returns the ids of the parts that other requests may share: all but the last.
	 * @return the ids in order, without repetitions
	 */
	public Set<String> sharedParts() {
		Set<String> shared = new LinkedHashSet<>();
		for (int i = 0; i + 1 < this.parts.size(); i++) {
			shared.add(this.parts.get(i).id());
		}
		return shared;
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
