package org.fulmargap.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Kinds of pipeline stage.
 */
public enum StageKind {

	/** Computes embeddings of the input. */
	@JsonProperty("encode")
	ENCODE,

	/** Retrieves documents. */
	@JsonProperty("retrieve")
	RETRIEVE,

	/** Sorts documents by relevance. */
	@JsonProperty("rerank")
	RERANK,

	/** Generates tokens with a model engine and streams them. */
	@JsonProperty("generate")
	GENERATE,

	/** Calls a service that has effects outside the system. */
	@JsonProperty("action")
	ACTION;

	/**
	 * Returns the last path segment of an endpoint URL for this kind.
	 * @return the name in lower case
	 */
	public String path() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

	/**
	 * Returns whether endpoints stream the result of this kind.
	 * @return {@code true} for generation
	 */
	public boolean isStreamed() {
		return this == GENERATE;
	}

}
