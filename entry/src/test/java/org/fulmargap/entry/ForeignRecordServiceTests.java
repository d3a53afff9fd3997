package org.fulmargap.entry;

import java.util.Map;

import org.fulmargap.platform.standin.CallerWire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that end, stop to read the store or refuse sound requests because of
 * records of another writer.
 */
class ForeignRecordServiceTests {

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVms(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
	}

	private int status(int vm, String path) throws Exception {
		return this.installation.send(this.installation.attempt(vm, path)).statusCode();
	}

	private int pipelineStatus(int vm) throws Exception {
		return this.installation.send(this.installation.pipeline(vm)).statusCode();
	}

	@Nested
	class OfMembers {

		@Test
		void requestsWithStagesAreServedAfterForeignRecords() throws Exception {
			ForeignRecordServiceTests.this.installation.endpoint("core-1", "core");
			ForeignRecordServiceTests.this.installation.endpoint("stage-1", "stage");
			ForeignRecordServiceTests.this.installation.endpoint("pool-1", "pool");
			startVms(2);
			assertThat(pipelineStatus(0)).isEqualTo(200);
			Map<String, String> odd = Map.of("nan", "127.0.0.1:9 a NaN", "infinite", "127.0.0.1:9 a Infinity", "port",
					"127.0.0.1:99999 a 1", "ip", "999.0.0.1:80 a 1", "long", "127.0.0.1:9 a " + "1".repeat(200_000),
					"nested", "[".repeat(100_000), "text", "x");
			odd.forEach((key, value) -> ForeignRecordServiceTests.this.installation.store()
				.put(CallerWire.MEMBER_TOPIC, key, value));
			long untilMs = System.currentTimeMillis() + 4_000;
			while (System.currentTimeMillis() < untilMs) {
				for (int vm = 0; vm < 2; vm++) {
					assertThat(pipelineStatus(vm)).isEqualTo(200);
					assertThat(status(vm, "/push/x")).isEqualTo(200);
				}
			}
		}

	}

}
