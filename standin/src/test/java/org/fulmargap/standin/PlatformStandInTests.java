package org.fulmargap.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link PlatformStandIn}.
 */
@Timeout(60)
class PlatformStandInTests {

	private final LoopbackClient client = new LoopbackClient(Duration.ofSeconds(20), 4);

	private PlatformStandIn platform;

	@AfterEach
	void close() {
		this.client.close();
		if (this.platform != null) {
			this.platform.close();
		}
	}

	private void start(PlatformStandIn.Options options) throws IOException {
		this.platform = new PlatformStandIn(options);
		this.platform.start();
	}

	private Answer send(int portIndex, String method, String path, Object body) throws IOException {
		return this.client.send(method, "http://127.0.0.1:" + this.platform.ports().get(portIndex) + path, body);
	}

	private Answer append(int portIndex, int value) throws IOException {
		return send(portIndex, "POST", "/v1/log/claims/records", Map.of("n", value));
	}

	private JsonNode read(long from) throws IOException {
		return send(0, "GET", "/v1/log/claims/records?from=" + from + "&max=10", null).json();
	}

	@Nested
	class Log {

		@Test
		void keepsTheNewestRecordsAndTheirOffsets() throws Exception {
			start(new PlatformStandIn.Options(List.of(0), 400, 2, 60_000, 0));
			for (int value = 0; value < 3; value++) {
				assertThat(append(0, value).json().path("offset").asInt()).isEqualTo(value);
			}
			assertThat(read(0).path("first_offset").asInt()).isEqualTo(1);
			assertThat(read(0).path("next_offset").asInt()).isEqualTo(3);
			assertThat(read(2).path("records").size()).isEqualTo(1);
			assertThat(read(2).path("records").path(0).path("value").path("n").asInt()).isEqualTo(2);
		}

		@Test
		void refusesAppendsBeyondTheLimit() throws Exception {
			start(new PlatformStandIn.Options(List.of(0), 1, 10, 60_000, 0));
			int status = 200;
			for (int value = 0; status == 200 && value < 100; value++) {
				status = append(0, value).status();
			}
			assertThat(status).isEqualTo(429);
		}

		@Test
		void appendTakesEffectWhenItsAnswerIsLost() throws Exception {
			start(PlatformStandIn.Options.defaults());
			send(0, "POST", "/control/faults", Map.of("lose_append_answers", 1));
			assertThatThrownBy(() -> append(0, 7)).isInstanceOf(IOException.class);
			assertThat(read(0).path("records").path(0).path("value").path("n").asInt()).isEqualTo(7);
			assertThat(append(0, 8).status()).isEqualTo(200);
		}

		@Test
		void downAndCutHaveNoEffectOnTheStream() throws Exception {
			start(PlatformStandIn.Options.defaults().withPorts(List.of(0, 0)));
			send(0, "POST", "/control/faults", Map.of("cut_ports", List.of(this.port(1))));
			assertThatThrownBy(() -> append(1, 1)).isInstanceOf(IOException.class);
			assertThat(append(0, 2).status()).isEqualTo(200);
			send(0, "POST", "/control/faults", Map.of("reset", true, "down", true));
			assertThatThrownBy(() -> append(0, 3)).isInstanceOf(IOException.class);
			send(0, "POST", "/control/faults", Map.of("reset", true, "cut_addresses", List.of("127.0.0.1")));
			assertThatThrownBy(() -> append(0, 4)).isInstanceOf(IOException.class);
			send(0, "POST", "/control/faults", Map.of("reset", true));
			assertThat(read(0).path("next_offset").asInt()).isEqualTo(1);
		}

		private int port(int index) {
			return PlatformStandInTests.this.platform.ports().get(index);
		}

	}

	@Nested
	class Vms {

		@Test
		void listShowsChangesOnlyAfterTheLag() {
			VmList list = new VmList(1_000);
			list.set(List.of(new VmList.Vm("bog-norte-1", "live")), 5_000);
			list.set(List.of(new VmList.Vm("bog-norte-1", "leaving")), 5_500);
			assertThat(list.read(5_900).vms()).isEmpty();
			assertThat(list.read(6_100).vms().get(0).state()).isEqualTo("live");
			assertThat(list.read(6_500).vms().get(0).state()).isEqualTo("leaving");
		}

	}

}
