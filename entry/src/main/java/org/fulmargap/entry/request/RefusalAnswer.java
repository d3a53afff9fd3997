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
 * The answer to a request that no endpoint answers.
 */
final class RefusalAnswer {

	/**
	 * The share of the time left after which a refused caller may return at the latest.
	 */
	private static final double RETRY_AFTER_SHARE = 0.25;

	/**
	 * How far the times at which refused callers return lie apart, as a share of them.
	 */
	private static final double SPREAD = 0.5;

	private static final double MS_PER_SECOND = 1_000;

	private RefusalAnswer() {
	}

	/**
	 * Sends the answer.
	 * @param exchange the request
	 * @param refusal why it isn't served
	 * @param retryAfterMs when the caller may come back, in milliseconds; 0 for never
	 * @param leftMs how long the caller still waits, in milliseconds
	 */
	static void send(CallerExchange exchange, Refusal refusal, long retryAfterMs, long leftMs) {
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
		if (retryAfterMs > 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(retryAfterMs, leftMs));
		}
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		ByteBuf body = Unpooled.copiedBuffer("{\"error\":\"" + refusal.name() + "\"}", StandardCharsets.UTF_8);
		exchange.answer(refusal.status(), headers, body);
	}

	// Callers that were refused together come back at different times.
	private static String retryAfter(long retryAfterMs, long leftMs) {
		double spread = 1 - SPREAD / 2 + SPREAD * ThreadLocalRandom.current().nextDouble();
		double afterMs = Math.min(retryAfterMs, leftMs * RETRY_AFTER_SHARE) * spread;
		return String.format(Locale.ROOT, "%.2f", afterMs / MS_PER_SECOND);
	}

}
