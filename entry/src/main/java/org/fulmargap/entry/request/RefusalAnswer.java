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

	/**
	 * The longest {@code Retry-After} before the random spread, as a share of the time
	 * that the caller has left.
	 */
	private static final double MAX_RETRY_AFTER_SHARE = 0.25;

	/**
	 * The width of the random spread of {@code Retry-After}, as a share of its mean: 0.5
	 * gives 0.75 to 1.25 times the mean.
	 */
	private static final double RETRY_AFTER_SPREAD = 0.5;

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
			headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(retryAfterMs, leftMs));
		}
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		ByteBuf body = Unpooled.copiedBuffer("{\"error\":\"" + refusal.name() + "\"}", StandardCharsets.UTF_8);
		exchange.answer(refusal.status(), headers, body);
	}

	// The spread keeps callers that were refused together from retrying all at once.
	private static String retryAfter(long retryAfterMs, long leftMs) {
		double spread = 1 - RETRY_AFTER_SPREAD / 2 + RETRY_AFTER_SPREAD * ThreadLocalRandom.current().nextDouble();
		double afterMs = Math.min(retryAfterMs, leftMs * MAX_RETRY_AFTER_SHARE) * spread;
		return String.format(Locale.ROOT, "%.2f", afterMs / MS_PER_SECOND);
	}

}
