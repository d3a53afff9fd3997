package org.fulmargap.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fulmargap.fleet.Hubs;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.ForeignRecords;
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

	// Puts each odd record under a key of its own and under that of a sound endpoint.
	private void putForeignEndpoints(String soundId) {
		ForeignRecords.endpoints().forEach((name, value) -> {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "odd " + name, value);
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, soundId, value);
		});
		for (String key : List.of("", "k".repeat(255), "a\"b=c\n\r\u001b\u2028", "\u00e9\ud83d\ude00")) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, key, "[]");
		}
		this.installation.store().append(CallerWire.ENDPOINT_TOPIC, new byte[] { 2, (byte) 0xff, (byte) 0xfe, '7' });
		this.installation.store().append(CallerWire.ENDPOINT_TOPIC, new byte[] { 9, 'a' });
		this.installation.store().append(CallerWire.ENDPOINT_TOPIC, new byte[0]);
	}

	private void assertServedBy(EndpointStandIn endpoint, int vms) throws Exception {
		for (int i = 0; i < vms; i++) {
			int vm = i;
			int before = endpoint.runs();
			Installation.await(() -> {
				try {
					return status(vm, "/push/x") == 200 && endpoint.runs() > before;
				}
				catch (Exception ex) {
					return false;
				}
			});
			for (int j = 0; j < 5; j++) {
				assertThat(status(i, "/push/x")).isEqualTo(200);
			}
		}
	}

	@Nested
	class OfEndpoints {

		@Test
		void aNewEndpointIsUsedAfterForeignRecords() throws Exception {
			ForeignRecordServiceTests.this.installation.endpoint("core-1", "core");
			startVms(2);
			putForeignEndpoints("core-1");
			EndpointStandIn added = ForeignRecordServiceTests.this.installation.endpoint("core-2", "core");
			assertServedBy(added, 2);
		}

		@Test
		void aVmThatStartsAfterForeignRecordsServes() throws Exception {
			putForeignEndpoints("core-1");
			EndpointStandIn added = ForeignRecordServiceTests.this.installation.endpoint("core-2", "core");
			startVms(2);
			assertServedBy(added, 2);
		}

		@Test
		void membersOfHubsUseANewEndpointAfterForeignRecords() throws Exception {
			int vms = Hubs.MAX_FLAT_FLEET + 3;
			startVms(vms);
			Installation.await(() -> followers(vms) > 0);
			putForeignEndpoints("core-1");
			EndpointStandIn added = ForeignRecordServiceTests.this.installation.endpoint("core-2", "core");
			assertServedBy(added, vms);
			assertThat(followers(vms)).isPositive();
		}

		private int followers(int vms) {
			int followers = 0;
			for (int i = 0; i < vms; i++) {
				followers += (ForeignRecordServiceTests.this.installation.vm(i).followsAHub()) ? 1 : 0;
			}
			return followers;
		}

	}

	@Nested
	class OfOperators {

		@Test
		void theNextConfigurationIsUsedAfterForeignRecords() throws Exception {
			ForeignRecordServiceTests.this.installation.endpoint("core-1", "core");
			startVms(2);
			List<String> odd = new ArrayList<>(ForeignRecords.endpoints().values());
			odd.add(CallerWire.CONFIG.formatted(2).replace("\"after\":[]", "\"after\":[1]"));
			odd.add("{\"version\":1e400}");
			for (String value : odd) {
				ForeignRecordServiceTests.this.installation.store().put(CallerWire.OPERATOR_TOPIC, "config", value);
				ForeignRecordServiceTests.this.installation.store().put(CallerWire.OPERATOR_TOPIC, "other", value);
			}
			ForeignRecordServiceTests.this.installation.store().put(CallerWire.OPERATOR_TOPIC, "evacuate/", "{}");
			ForeignRecordServiceTests.this.installation.store()
				.put(CallerWire.OPERATOR_TOPIC, "config",
						CallerWire.CONFIG.formatted(3).replace("\"good\"", "\"good\",\"new\""));
			for (int i = 0; i < 2; i++) {
				int vm = i;
				Installation.await(() -> {
					try {
						return ForeignRecordServiceTests.this.installation
							.send(ForeignRecordServiceTests.this.installation.attempt(vm, "/push/x")
								.setHeader("Authorization", "Token new"))
							.statusCode() == 200;
					}
					catch (Exception ex) {
						return false;
					}
				});
			}
		}

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
