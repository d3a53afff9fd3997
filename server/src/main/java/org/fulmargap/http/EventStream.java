package org.fulmargap.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Json;
import org.fulmargap.endpoint.TokenSink;

/**
 * Writes a streamed answer as server-sent events. The response starts with the first
 * event, so that a request that fails before its first token still gets the HTTP status
 * of its failure.
 */
final class EventStream implements TokenSink {

	private final ResponseStarter responseStarter;

	private OutputStream stream;

	private int tokenCount;

	EventStream(ResponseStarter responseStarter) {
		this.responseStarter = responseStarter;
	}

	boolean isStarted() {
		return this.stream != null;
	}

	@Override
	public void token(int index, String text) throws IOException {
		ObjectNode data = Json.mapper().createObjectNode();
		data.put("index", index);
		data.put("text", text);
		write("token", data);
		this.tokenCount++;
	}

	/**
	 * Writes the last event: the result, or the failure if tokens were already sent.
	 * @param reply the reply to the request
	 * @throws IOException if the connection to the caller is closed
	 */
	void end(Reply reply) throws IOException {
		JsonNode body = parseJson(reply.body());
		if (reply.output().isEmpty()) {
			write("error", body);
			return;
		}
		if (this.tokenCount == 0 && !reply.output().get().isEmpty()) {
			token(0, reply.output().get());
		}
		ObjectNode done = Json.mapper().createObjectNode();
		done.put("count", this.tokenCount);
		done.setAll((ObjectNode) body);
		write("done", done);
	}

	private static JsonNode parseJson(String json) throws JsonProcessingException {
		return Json.mapper().readTree(json);
	}

	private void write(String event, JsonNode data) throws IOException {
		if (this.stream == null) {
			this.stream = this.responseStarter.start();
		}
		this.stream.write(("event: " + event + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
		this.stream.flush();
	}

	/**
	 * Starts the HTTP response and returns the stream of its body.
	 */
	@FunctionalInterface
	interface ResponseStarter {

		OutputStream start() throws IOException;

	}

}
