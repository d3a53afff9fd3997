package org.fulmargap.entry;

import java.util.Random;

import org.fulmargap.platform.standin.CallerWire;

/**
 * The requests that callers send in {@link SecondAnswerTests}.
 */
enum CallerMethod {

	/** An idempotent request. */
	GET("GET /read/x", 1_000, 40),

	/** A request that may run once at most. */
	POST("POST /push/x", 1_000, 25),

	/** An idempotent request whose answer has no body. */
	HEAD("HEAD /read/x", 1_000, 15),

	/** A stream that may be resumed. */
	STREAM("POST /stream/x", 2_000, 20);

	private final String target;

	private final long timeoutMs;

	private final int percent;

	CallerMethod(String target, long timeoutMs, int percent) {
		this.target = target;
		this.timeoutMs = timeoutMs;
		this.percent = percent;
	}

	static CallerMethod draw(Random random) {
		int rest = random.nextInt(100);
		for (CallerMethod method : values()) {
			rest -= method.percent;
			if (rest < 0) {
				return method;
			}
		}
		return STREAM;
	}

	long timeoutMs() {
		return this.timeoutMs;
	}

	/**
	 * Returns the configuration whose timeouts are those of the requests.
	 */
	static String config() {
		return CallerWire.CONFIG.formatted(1)
			.replace("\"timeout-ms\":6000", "\"timeout-ms\":" + STREAM.timeoutMs)
			.replace("\"goal-ms\":2000", "\"goal-ms\":1000")
			.replace("\"timeout-ms\":2000,\n\"goal-ms\":500", "\"timeout-ms\":" + GET.timeoutMs + ",\n\"goal-ms\":500")
			.replace("\"max-attempts\":1", "\"max-attempts\":2");
	}

	String request(String attemptId) {
		String body = (this == POST || this == STREAM) ? "{}" : "";
		String length = (body.isEmpty()) ? "" : "Content-Length: " + body.length() + "\r\n";
		return this.target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Token good\r\n" + CallerWire.ATTEMPT_ID
				+ ": " + attemptId + "\r\n" + CallerWire.TIME_LEFT_MS + ": " + this.timeoutMs + "\r\n" + length + "\r\n"
				+ body;
	}

}
