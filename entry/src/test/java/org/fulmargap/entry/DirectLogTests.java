package org.fulmargap.entry;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against processes that lose their last line, or that can't end because nobody
 * reads their standard error.
 */
class DirectLogTests {

	@Test
	void aLastLineIsWrittenAfterTheOnesBeforeIt() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		DirectLog log = new DirectLog(output);
		log.write("first");
		log.writeAndWait("last");
		assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo("first\nlast\n");
	}

	@Test
	@Timeout(10)
	void aProcessEndsThoughNobodyReadsItsLastLines() {
		DirectLog log = new DirectLog(new BlockedOutput());
		for (int i = 0; i < 1_000; i++) {
			log.write("line " + i);
		}
		long startNanos = System.nanoTime();
		log.writeAndWait("last");
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(2));
	}

	@Test
	void theLimitsOfAProcessAreReadFromTheTableOfTheKernel() {
		ProcessLimits limits = new ProcessLimits(
				List.of("Limit                     Soft Limit           Hard Limit           Units     ",
						"Max open files            4100                 1048576              files     "));
		assertThat(limits.soft("Max open files")).isEqualTo("4100");
		assertThat(limits.soft("Max processes")).isEqualTo("unknown");
	}

	private static final class BlockedOutput extends OutputStream {

		private final CountDownLatch never = new CountDownLatch(1);

		@Override
		public void write(int unit) {
			try {
				this.never.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
