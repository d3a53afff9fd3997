package org.fulmargap.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Access to the JSON mapper that all documents use.
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
	 * Returns the mapper. It refuses unknown properties and trailing input.
	 * @return the shared mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

}
