package org.fulmargap.endpoint;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import okio.BufferedSource;
import org.fulmargap.config.Json;

/**
 * Reads the server-sent events of a streamed answer and checks that no token is missing.
 */
final class TokenStream {

	private static final long MAX_LINE_BYTES = 1 << 20;

	private final BufferedSource source;

	private final Runnable onProgress;

	private final StringBuilder text = new StringBuilder();

	private int nextIndex;

	private int cachedTokens;

	TokenStream(BufferedSource source, int startIndex, Runnable onProgress) {
		this.source = source;
		this.nextIndex = startIndex;
		this.onProgress = onProgress;
	}

	/**
	 * Reads the stream up to and including its end marker.
	 * @param sink receives each token
	 * @throws IncompleteStreamException if the stream violates the protocol or ends early
	 * @throws SinkFailedException if the sink throws an exception
	 * @throws IOException if the connection fails
	 */
	void readAll(TokenSink sink) throws IOException {
		String event = "";
		while (true) {
			if (this.source.exhausted()) {
				throw new IncompleteStreamException(
						"the stream ended after " + this.nextIndex + " tokens without an end marker");
			}
			String line = this.source.readUtf8LineStrict(MAX_LINE_BYTES);
			this.onProgress.run();
			if (line.startsWith("event:")) {
				event = line.substring("event:".length()).strip();
			}
			else if (line.startsWith("data:")) {
				JsonNode data = parseJson(line.substring("data:".length()));
				if (event.equals("done")) {
					checkCount(data);
					return;
				}
				if (event.equals("token")) {
					readToken(data, sink);
				}
				else {
					throw new IncompleteStreamException("unexpected event '" + event + "'");
				}
			}
		}
	}

	private void readToken(JsonNode data, TokenSink sink) throws IOException {
		JsonNode index = data.path("index");
		JsonNode token = data.path("text");
		if (!index.isInt() || !token.isTextual()) {
			throw new IncompleteStreamException("token event without a valid index or text");
		}
		if (index.intValue() != this.nextIndex) {
			throw new IncompleteStreamException(
					"expected token " + this.nextIndex + " but received token " + index.intValue());
		}
		this.nextIndex++;
		this.text.append(token.textValue());
		if (this.text.length() > EndpointClient.MAX_ANSWER_BYTES) {
			throw new IncompleteStreamException(
					"answer exceeds the maximum number of characters: " + EndpointClient.MAX_ANSWER_BYTES);
		}
		try {
			sink.token(index.intValue(), token.textValue());
		}
		catch (IOException ex) {
			throw new SinkFailedException(ex);
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

	private static JsonNode parseJson(String json) throws IncompleteStreamException {
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
	 * Thrown when a stream violates the protocol or ends early.
	 */
	static final class IncompleteStreamException extends IOException {

		private static final long serialVersionUID = 1L;

		IncompleteStreamException(String message) {
			super(message);
		}

	}

	/**
	 * Thrown when the sink could not deliver a token.
	 */
	static final class SinkFailedException extends IOException {

		private static final long serialVersionUID = 1L;

		SinkFailedException(IOException cause) {
			super("a token could not be delivered to the caller", cause);
		}

	}

}
