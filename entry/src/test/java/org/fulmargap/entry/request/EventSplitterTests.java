package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against open streams that keep the memory of a large event after it was passed
 * on, or when it broke off.
 */
class EventSplitterTests {

	private static final int LARGE_BYTES = 1_000_000;

	private static final int SMALL_BYTES = 16_384;

	private final EventSplitter splitter = new EventSplitter();

	private ByteBuf add(String text) {
		return this.splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	@Test
	void aPartialEventCountsWithItsWholeBuffer() {
		add("id: 0\ndata: " + "x".repeat(LARGE_BYTES));
		assertThat(this.splitter.heldBytes()).isBetween(LARGE_BYTES, 2 * LARGE_BYTES);
	}

	@Test
	void aLargeEventIsNotKeptInMemory() {
		assertThat(add("id: 0\ndata: " + "x".repeat(LARGE_BYTES) + "\n\n").readableBytes()).isGreaterThan(LARGE_BYTES);
		assertThat(this.splitter.heldBytes()).isLessThan(SMALL_BYTES);
	}

	@Test
	void theStartOfTheNextEventIsKept() {
		add("id: 0\ndata: " + "x".repeat(LARGE_BYTES) + "\n\nid: 1\nda");
		assertThat(this.splitter.heldBytes()).isLessThan(SMALL_BYTES);
		assertThat(add("ta: y\n\n").toString(StandardCharsets.US_ASCII)).isEqualTo("id: 1\ndata: y\n\n");
	}

	@Test
	void aLargeEventThatBrokeOffIsNotKeptInMemory() {
		add("id: 0\ndata: " + "x".repeat(LARGE_BYTES));
		this.splitter.reset();
		assertThat(this.splitter.heldBytes()).isLessThan(SMALL_BYTES);
	}

}
