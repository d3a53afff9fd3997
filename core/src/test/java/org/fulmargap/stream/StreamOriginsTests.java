package org.fulmargap.stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that go on at a version that did not begin them.
 */
class StreamOriginsTests {

	@Nested
	class Origins {

		private final StreamOrigins origins = new StreamOrigins();

		@Test
		void theFirstOriginOfAnAttemptHolds() {
			this.origins.add(new StreamOrigin("a", "pool", "v1"), true, 0);
			this.origins.add(new StreamOrigin("a", "pool", "v2"), false, 1);
			assertThat(this.origins.find("a").orElseThrow().softwareVersion()).isEqualTo("v1");
		}

		@Test
		void theNumberOfOriginsIsBounded() {
			for (int i = 0; i < 30_000; i++) {
				this.origins.add(new StreamOrigin("a" + i, "pool", "v1"), true, 0);
			}
			assertThat(this.origins.find("a0")).isEmpty();
			assertThat(this.origins.own("pool", 0)).hasSize(20_000);
		}

		@Test
		void originsOfOtherVmsAreNotAnnouncedAgain() {
			this.origins.add(new StreamOrigin("a", "pool", "v1"), false, 0);
			assertThat(this.origins.own("pool", 0)).isEmpty();
		}

		@Test
		void aNewWriterGetsTheLatestOriginsOfAllVms() {
			StreamOrigin heard = new StreamOrigin("heard", "pool", "v1");
			this.origins.add(new StreamOrigin("earlier", "pool", "v1"), true, 0);
			this.origins.add(heard, false, 10);
			this.origins.add(new StreamOrigin("other", "core", "v1"), false, 10);
			assertThat(this.origins.added("pool", 10)).containsExactly(heard);
		}

	}

	@Nested
	class Versions {

		private final ServiceVersions versions = new ServiceVersions();

		@Test
		void aVersionThatHasJustLeftStillCounts() {
			this.versions.listed("pool", "v1", 0);
			this.versions.listed("pool", "v2", 10_000);
			assertThat(this.versions.isMixed("pool", ServiceVersions.LATELY_MS - 1)).isTrue();
			assertThat(this.versions.isMixed("pool", ServiceVersions.LATELY_MS)).isFalse();
		}

		@Test
		void versionsOfOtherServicesDoNotCount() {
			this.versions.listed("pool", "v1", 0);
			this.versions.listed("core", "v2", 0);
			assertThat(this.versions.isMixed("pool", 1)).isFalse();
		}

	}

}
