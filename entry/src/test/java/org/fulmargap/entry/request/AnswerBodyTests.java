package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.fulmargap.entry.endpoint.AnswerMemory;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AnswerBody}.
 */
class AnswerBodyTests {

	private static final int MIB = 1 << 20;

	private final AnswerMemory memory = new AnswerMemory();

	private final HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

	private AnswerBody body() {
		return new AnswerBody(this.head, false, this.memory, (allowed) -> {
		});
	}

	private static ByteBuf part(int bytes) {
		return Unpooled.wrappedBuffer(new byte[bytes]);
	}

	@Test
	void partsAreKeptInOrder() {
		try (AnswerBody body = body()) {
			body.keep(Unpooled.copiedBuffer("one ", StandardCharsets.UTF_8));
			body.keep(Unpooled.copiedBuffer("two", StandardCharsets.UTF_8));
			assertThat(body.whole().toString(StandardCharsets.UTF_8)).isEqualTo("one two");
		}
	}

	@Nested
	class SmallParts {

		@Test
		void partsOfOneByteTakeNoBufferEach() {
			try (AnswerBody body = body()) {
				for (int i = 0; i < 50_000; i++) {
					assertThat(body.keep(part(1))).isTrue();
				}
				assertThat(body.whole().nioBufferCount()).isEqualTo(1);
				assertThat(body.whole().readableBytes()).isEqualTo(50_000);
				assertThat(AnswerBodyTests.this.memory.usedBytes()).isBetween(50_000L, 100_000L);
			}
		}

		@Test
		void anAnswerOfVeryManyPartsIsGivenUp() {
			try (AnswerBody body = body()) {
				int parts = 0;
				while (body.keep(part(1))) {
					parts++;
				}
				assertThat(parts).isEqualTo(100_000);
			}
		}

	}

	@Nested
	class LargeParts {

		@Test
		void theMemoryOfTheWholeBufferCounts() {
			try (AnswerBody body = body()) {
				assertThat(body.keep(part(5 * MIB))).isTrue();
				assertThat(AnswerBodyTests.this.memory.usedBytes()).isEqualTo(body.whole().capacity());
			}
			assertThat(AnswerBodyTests.this.memory.usedBytes()).isZero();
		}

		@Test
		void aBodyOverTheLimitIsGivenUpAndNotKept() {
			try (AnswerBody body = body()) {
				assertThat(body.keep(part(8 * MIB))).isTrue();
				assertThat(body.keep(part(1))).isFalse();
				assertThat(body.whole().readableBytes()).isEqualTo(8 * MIB);
			}
		}

		@Test
		void aStatedLengthOverTheLimitIsGivenUpAtOnce() {
			AnswerBodyTests.this.head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 8 * MIB + 1);
			try (AnswerBody body = body()) {
				assertThat(body.keep(part(1))).isFalse();
			}
		}

	}

}
