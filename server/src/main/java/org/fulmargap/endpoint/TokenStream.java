package org.fulmargap.endpoint;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import okio.BufferedSource;
import org.fulmargap.config.Json;

/**
 * Reads the server-sent events of a generation and checks that no token is missing.
 */
final class TokenStream {

	private static final long MAX_LINE_BYTES = 1 << 20;

	private final BufferedSource source;

	private final Runnable progress;

	private final StringBuilder text = new StringBuilder();

	private int nextIndex;

	private int cachedTokens;

	TokenStream(BufferedSource source, int startIndex, Runnable progress) {
		this.source = source;
		this.nextIndex = startIndex;
		this.progress = progress;
	}

	/**
	 * Reads up to the end marker.
	 * @param sink receives each token
	 * @throws IncompleteStreamException if the stream violates its form or ends early
	 * @throws ReceiverGoneException if the sink fails
	 * @throws IOException if the connection fails
	 */
	void readAll(TokenSink sink) throws IOException {
		String event = "";
		while (true) {
			if (this.source.exhausted()) {
				throw new IncompleteStreamException("the stream ended after " + this.nextIndex + " tokens without end");
			}
			String line = this.source.readUtf8LineStrict(MAX_LINE_BYTES);
			this.progress.run();
			if (line.startsWith("event:")) {
				event = line.substring("event:".length()).strip();
			}
			else if (line.startsWith("data:")) {
				JsonNode data = parse(line.substring("data:".length()));
				if (event.equals("done")) {
					checkCount(data);
					return;
				}
				if (event.equals("token")) {
					take(data, sink);
				}
				else {
					throw new IncompleteStreamException("unexpected event '" + event + "'");
				}
			}
		}
	}

	private void take(JsonNode data, TokenSink sink) throws IOException {
		JsonNode index = data.path("index");
		JsonNode token = data.path("text");
		if (!index.isInt() || !token.isTextual()) {
			throw new IncompleteStreamException("token event without index or text");
		}
		if (index.intValue() != this.nextIndex) {
			throw new IncompleteStreamException(
					"expected token " + this.nextIndex + " but received token " + index.intValue());
		}
		this.nextIndex++;
		this.text.append(token.textValue());
		if (this.text.length() > EndpointClient.MAX_ANSWER_BYTES) {
			throw new IncompleteStreamException("answer is longer than " + EndpointClient.MAX_ANSWER_BYTES);
		}
		try {
			sink.token(index.intValue(), token.textValue());
		}
		catch (IOException ex) {
			throw new ReceiverGoneException(ex);
		}
	}

	private void checkCount(JsonNode data) throws IncompleteStreamException {
		JsonNode count = data.path("count");
		if (!count.isInt() || count.intValue() != this.nextIndex) {
			throw new IncompleteStreamException(
					"end marker counts " + count.asText() + " tokens, but " + this.nextIndex + " were received");
		}
		this.cachedTokens = data.path("cached_tokens").asInt(0);
	}

	private static JsonNode parse(String json) throws IncompleteStreamException {
		try {
			return Json.mapper().readTree(json);
		}
		catch (IOException ex) {
			throw new IncompleteStreamException("event is not valid JSON");
		}
	}

	String text() {
		return this.text.toString();
	}

	int nextIndex() {
		return this.nextIndex;
	}

	int cachedTokens() {
		return this.cachedTokens;
	}

	/**
	 * Reports a stream that violates its form.
	 */
	static final class IncompleteStreamException extends IOException {

		private static final long serialVersionUID = 1L;

		IncompleteStreamException(String message) {
			super(message);
		}

	}

	/**
	 * Reports that nobody receives the tokens any more.
	 */
	static final class ReceiverGoneException extends IOException {

		private static final long serialVersionUID = 1L;

		ReceiverGoneException(IOException cause) {
			super("the receiver of the tokens is gone", cause);
		}

	}

}
