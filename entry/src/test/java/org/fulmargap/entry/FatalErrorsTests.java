package org.fulmargap.entry;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against processes that stay when a thread that they need has ended.
 */
class FatalErrorsTests {

	@Test
	void theProcessEndsWithAThreadThatFails() throws InterruptedException {
		AtomicInteger exits = new AtomicInteger();
		Thread thread = new Thread(() -> {
			throw new OutOfMemoryError("simulated");
		});
		thread.setUncaughtExceptionHandler(new FatalErrors(exits::incrementAndGet));
		thread.start();
		thread.join();
		assertThat(exits).hasValue(1);
	}

	@Test
	void aProcessThatEndsAnywayIgnoresErrors() {
		AtomicInteger exits = new AtomicInteger();
		FatalErrors errors = new FatalErrors(exits::incrementAndGet);
		errors.disarm();
		errors.end("the event loop has ended");
		assertThat(exits).hasValue(0);
	}

}
