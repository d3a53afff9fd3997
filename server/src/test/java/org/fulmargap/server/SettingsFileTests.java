package org.fulmargap.server;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against a server that starts with settings other than those intended, or that
 * does not report which field is invalid.
 */
class SettingsFileTests {

	private static final String VALID = """
			{"vm":"v1","failure_domain":"d1","caller_address":"127.0.0.1:1","admin_address":"127.0.0.1:2",
			"peer_address":"[::1]:3","peers":["127.0.0.1:4"],"platform_log_url":"http://127.0.0.1:5",
			"platform_vms_url":"http://127.0.0.1:5","drain_notice_ms":10}""";

	private static String message(String json) {
		SettingsException ex = catchThrowableOfType(SettingsException.class, () -> SettingsFile.parse(json));
		assertThat(ex.getMessage().lines()).hasSize(1);
		return ex.getMessage();
	}

	@Nested
	class Valid {

		@Test
		void fieldsAndDefaultsAreRead() throws SettingsException {
			Settings settings = SettingsFile.parse(VALID);
			assertThat(settings.peerAddress()).isEqualTo(new Address("::1", 3));
			assertThat(settings.peers()).containsExactly(new Address("127.0.0.1", 4));
			assertThat(settings.drainNoticeMs()).isEqualTo(10);
			assertThat(settings.keyLifetimeMs()).isEqualTo(3_600_000);
			assertThat(settings.isolatedPolicy()).isEqualTo(IsolatedPolicy.SERVE_OWN_DOMAIN);
		}

	}

	@Nested
	class Invalid {

		@Test
		void unknownFieldIsReported() {
			assertThat(message(VALID.replace("drain_notice_ms", "drain_notice")))
				.isEqualTo("settings: field 'drain_notice' is unknown");
		}

		@Test
		void stringWithUnitIsRejected() {
			assertThat(message(VALID.replace(":10}", ":\"10s\"}")))
				.isEqualTo("settings: field 'drain_notice_ms' must be a whole number of milliseconds");
		}

		@Test
		void numberAsStringIsRejected() {
			assertThat(message(VALID.replace(":10}", ":\"10\"}")))
				.isEqualTo("settings: field 'drain_notice_ms' must be a whole number of milliseconds");
		}

		@Test
		void fractionIsRejected() {
			assertThat(message(VALID.replace(":10}", ":0.5}"))).contains("'drain_notice_ms'");
		}

		@Test
		void negativeTimeIsRejected() {
			assertThat(message(VALID.replace(":10}", ":-1}")))
				.isEqualTo("settings: field 'drain_notice_ms' must be at least 0, but is -1");
		}

		@Test
		void missingAddressIsReported() {
			assertThat(message(VALID.replace("\"admin_address\":\"127.0.0.1:2\",", "")))
				.isEqualTo("settings: field 'admin_address' is missing");
		}

		@Test
		void hostNameIsRejectedAsAddress() {
			assertThat(message(VALID.replace("127.0.0.1:2", "localhost:2"))).contains("'admin_address'")
				.contains("IP:port")
				.contains("localhost:2");
		}

		@Test
		void invalidPeerIsReportedWithItsIndex() {
			assertThat(message(VALID.replace("[\"127.0.0.1:4\"]", "[\"127.0.0.1:4\",\"x\"]"))).contains("'peers[1]'");
		}

		@Test
		void wrongTypeIsReported() {
			assertThat(message(VALID.replace("[\"127.0.0.1:4\"]", "\"127.0.0.1:4\"")))
				.isEqualTo("settings: field 'peers' must be a list");
		}

		@Test
		void unknownPolicyIsRejectedWithTheAllowedValues() {
			assertThat(message(VALID.replace(":10}", ":10,\"isolated_policy\":\"HALT\"}")))
				.contains("'isolated_policy'")
				.contains("SERVE_OWN_DOMAIN");
		}

		@Test
		void malformedJsonIsReportedWithItsLocation() {
			assertThat(message(VALID.substring(0, VALID.length() - 1))).startsWith("settings: not valid JSON at line ");
		}

	}

}
