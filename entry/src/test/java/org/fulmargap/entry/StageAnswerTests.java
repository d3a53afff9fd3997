package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.LateCopyStageStandIn;
import org.fulmargap.platform.standin.LateCopyStageStandIn.CopiedAnswer;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an entry VM with a stage endpoint that sends an answer a second time, late.
 */
class StageAnswerTests {

	private static final int REQUESTS = 12;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		// Each call holds the work items of one stage of one request.
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(2).replace("\"batch\":20", "\"batch\":2"));
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	@Test
	void aLateCopyOfARefusalIsNotFollowedByTheAnswerToAnotherCall() throws Exception {
		checkInputsOfOwnRequest(CopiedAnswer.REFUSAL);
	}

	@Test
	void aLateCopyOfAServerErrorIsNotFollowedByTheAnswerToAnotherCall() throws Exception {
		checkInputsOfOwnRequest(CopiedAnswer.SERVER_ERROR);
	}

	@Test
	void aLateCopyOfFailuresOfAllItemsIsNotFollowedByTheAnswerToAnotherCall() throws Exception {
		checkInputsOfOwnRequest(CopiedAnswer.ALL_FAILED);
	}

	@Test
	void aLateCopyOfAMalformedAnswerIsNotFollowedByTheAnswerToAnotherCall() throws Exception {
		checkInputsOfOwnRequest(CopiedAnswer.MALFORMED);
	}

	@Test
	void aLateCopyOfTheAnswerToAReleaseIsNotFollowedByTheAnswerToAnotherCall() throws Exception {
		LateCopyStageStandIn stage = checkInputsOfOwnRequest(CopiedAnswer.RELEASED);
		assertThat(stage.isCopySent()).isTrue();
	}

	private LateCopyStageStandIn checkInputsOfOwnRequest(CopiedAnswer copied) throws Exception {
		LateCopyStageStandIn stage = new LateCopyStageStandIn(copied);
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(stage)) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("stage"));
			this.installation.endpoint("pool-1", "pool");
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			int answered = answeredOfOneWave() + answeredOfOneWave();
			assertThat(stage.foreignInputs()).isZero();
			assertThat(stage.callsAfterCopy()).isZero();
			assertThat(answered).isGreaterThan(REQUESTS);
			return stage;
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
