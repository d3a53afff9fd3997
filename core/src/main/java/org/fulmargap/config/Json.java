package org.fulmargap.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Provides the JSON mapper for all documents and records.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private Json() {
	}

	/**
	 * Returns the mapper. It rejects unknown properties, null or absent values of
	 * primitive properties, and trailing tokens.
	 * @return the shared mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

}
