package org.fulmargap.config;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against valid documents that are rejected and invalid ones that are accepted.
 */
class ConfigurationTests {

	private static Configuration read(String stageFields, String endpointFields) throws Exception {
		return Json.mapper()
			.readValue(("{'pipelines':{'p':{'idempotent':true,'deadline_ms':1000,'stages':[{'name':'s','kind':'encode',"
					+ "'service':'e'" + stageFields + "}]}},'endpoints':{'e1':{'service':'e','failure_domain':'d',"
					+ "'url':'http://127.0.0.1:1','max_concurrency':1" + endpointFields + "}}}")
				.replace('\'', '"'), Configuration.class);
	}

	@Nested
	class Documents {

		@Test
		void mayLeaveOutOptionalFields() throws Exception {
			assertThat(read("", "").pipeline("p").orElseThrow().stages().get(0).maxTokens()).isZero();
		}

		@Test
		void withUnknownFieldsAreRejected() {
			assertThatExceptionOfType(com.fasterxml.jackson.core.JsonProcessingException.class)
				.isThrownBy(() -> read(",'max_token':5", ""))
				.withMessageContaining("max_token");
		}

		@Test
		void whosePipelineHasNoEndpointAreRejected() {
			assertThatExceptionOfType(com.fasterxml.jackson.core.JsonProcessingException.class)
				.isThrownBy(() -> Json.mapper()
					.readValue(
							"{\"pipelines\":{\"p\":{\"idempotent\":true,\"deadline_ms\":1,\"stages\":[{\"name\":\"s\","
									+ "\"kind\":\"encode\",\"service\":\"none\",\"max_tokens\":0}]}}}",
							Configuration.class))
				.withMessageContaining("no endpoint belongs to service none");
		}

	}

}
