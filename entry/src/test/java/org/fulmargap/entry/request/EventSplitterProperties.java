package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link EventSplitter}.
 */
class EventSplitterProperties {

	@Property(tries = 200, seed = "21")
	void anyChunksGiveWholeEventsAndLoseNoBytes(@ForAll @IntRange(max = 20) int events,
			@ForAll @LongRange(min = 0, max = 9_999) long seed, @ForAll boolean carriageReturns) {
		String newLine = (carriageReturns) ? "\r\n" : "\n";
		StringBuilder stream = new StringBuilder();
		for (int i = 0; i < events; i++) {
			stream.append("id: ").append(i).append(newLine).append("data: d").append(newLine).append(newLine);
		}
		stream.append("id: 99").append(newLine).append("data: unfinished");
		EventSplitter splitter = new EventSplitter();
		StringBuilder whole = new StringBuilder();
		Random random = new Random(seed);
		int from = 0;
		while (from < stream.length()) {
			int to = Math.min(stream.length(), from + 1 + random.nextInt(9));
			ByteBuf out = splitter.add(Unpooled.copiedBuffer(stream.substring(from, to), StandardCharsets.UTF_8));
			if (out != null) {
				String text = out.toString(StandardCharsets.UTF_8);
				assertThat(text).endsWith(newLine + newLine);
				whole.append(text);
			}
			from = to;
		}
		assertThat(splitter.lastEventId()).isEqualTo((events > 0) ? Integer.toString(events - 1) : null);
		assertThat(stream.toString()).startsWith(whole);
		assertThat(splitter.partialBytes()).isEqualTo(stream.length() - whole.length());
	}

}
