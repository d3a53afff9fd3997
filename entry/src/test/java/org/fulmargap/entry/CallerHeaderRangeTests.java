package org.fulmargap.entry;

import java.util.List;

import org.fulmargap.platform.standin.CallerWire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against headers of one caller that take much memory, get no answer, or change
 * how requests of other callers are treated.
 */
class CallerHeaderRangeTests {

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.endpoint("stage-1", "stage");
		this.installation.endpoint("pool-1", "pool");
		this.installation.vm("vm-1");
		this.installation.awaitReady();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private int status(String header, String value) throws Exception {
		return this.installation.send(this.installation.pipeline(0).setHeader(header, value)).statusCode();
	}

	private void assertSoundRequestsAreServed() throws Exception {
		assertThat(this.installation.send(this.installation.pipeline(0)).statusCode()).isEqualTo(200);
	}

	@Test
	void tooManyWorkItemsAreRefused() throws Exception {
		for (String counts : List.of("1000000000,1", "1e10,1", "1e400", "9223372036854775807,1",
				"2147483647,2147483647", "100000,1")) {
			assertThat(status(CallerWire.ITEM_COUNTS, counts)).as(counts).isEqualTo(400);
		}
		assertSoundRequestsAreServed();
	}

	@Test
	void anyPromptIsAnswered() throws Exception {
		for (String usage : List.of("1e400,1e400", "Infinity,Infinity", "-5,-5", "NaN,NaN", "2147483648,1", ",")) {
			assertThat(status(CallerWire.TOKEN_USAGE, usage)).as(usage).isIn(200, 503);
			assertThat(status(CallerWire.PROMPT_PARTS, "a:1e400,b:1e400,c:-7," + "d:1,".repeat(1_000))).isIn(200, 503);
		}
		assertSoundRequestsAreServed();
	}

}
