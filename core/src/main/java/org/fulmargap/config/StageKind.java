package org.fulmargap.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Kinds of pipeline stage.
 */
public enum StageKind {

	/** Computes embeddings of the input. */
	@JsonProperty("encode")
	ENCODE,

	/** Looks up documents. */
	@JsonProperty("retrieve")
	RETRIEVE,

	/** Orders documents by relevance. */
	@JsonProperty("rerank")
	RERANK,

	/** Generates tokens with a model engine and streams them. */
	@JsonProperty("generate")
	GENERATE,

	/** Calls a plain service that acts outside the system. */
	@JsonProperty("action")
	ACTION;

	/**
	 * Returns the last path segment of the endpoint's URL for this kind.
	 * @return a lower-case word
	 */
	public String path() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

	/**
	 * Tells whether endpoints stream the result of this kind.
	 * @return {@code true} for generation
	 */
	public boolean isStreamed() {
		return this == GENERATE;
	}

}
