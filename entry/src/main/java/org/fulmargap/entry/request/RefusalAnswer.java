package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.fulmargap.entry.caller.CallerExchange;

/**
 * The response of the entry VM itself to a request that it refuses.
 */
final class RefusalAnswer {

	private static final double MS_PER_SECOND = 1_000;

	private RefusalAnswer() {
	}

	/**
	 * Sends the response.
	 * @param exchange the exchange to answer
	 * @param refusal why the request is refused
	 * @param retryAfterMs the time after which the caller may retry, in milliseconds; 0
	 * to leave out the {@code Retry-After} header
	 * @param leftMs how long the caller still waits, in milliseconds
	 */
	static void send(CallerExchange exchange, Refusal refusal, long retryAfterMs, long leftMs) {
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
		if (retryAfterMs > 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(refusal.spread(), retryAfterMs, leftMs));
		}
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		ByteBuf body = Unpooled.copiedBuffer("{\"error\":\"" + refusal.name() + "\"}", StandardCharsets.UTF_8);
		exchange.answer(refusal.status(), headers, body);
	}

	private static String retryAfter(RetryAfterSpread spread, long retryAfterMs, long leftMs) {
		double afterMs = spread.spreadMs(retryAfterMs, leftMs, ThreadLocalRandom.current().nextDouble());
		return String.format(Locale.ROOT, "%.2f", afterMs / MS_PER_SECOND);
	}

}
