package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.CutCopyStageStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against results of other requests that reach a work item in an answer which is
 * put together from the start of an earlier one and the true one.
 */
class CutStageAnswerTests {

	/** The cuts go once over an answer with two results. */
	private static final int CUTS = 70;

	private static final int MAX_WAVES = 60;

	private static final int REQUESTS = 12;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		this.installation.retries(1, 10_000);
		// Each call holds the work items of one stage of one request.
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(2).replace("\"batch\":20", "\"batch\":2"));
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void noWorkItemGetsResultsOfAnotherRequest(boolean chunked) throws Exception {
		CutCopyStageStandIn stage = new CutCopyStageStandIn(chunked);
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(stage)) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("stage"));
			this.installation.endpoint("pool-1", "pool");
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			int answered = 0;
			for (int i = 0; i < MAX_WAVES && stage.cuts() < CUTS; i++) {
				answered += answeredOfOneWave();
			}
			assertThat(stage.foreignInputs()).isZero();
			assertThat(stage.cuts()).isGreaterThanOrEqualTo(CUTS);
			assertThat(answered).isPositive();
		}
	}

	private int answeredOfOneWave() throws Exception {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			responses.add(this.installation
				.sendAsync(this.installation.pipeline(0).setHeader(CallerWire.ITEM_COUNTS, "2,2")));
		}
		int answered = 0;
		for (CompletableFuture<HttpResponse<String>> response : responses) {
			answered += (response.get().statusCode() == 200) ? 1 : 0;
		}
		return answered;
	}

}
