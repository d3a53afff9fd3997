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
 * Writes a streamed answer as server-sent events. The HTTP status is sent with the first
 * token, so that a request that fails before it still gets the status of its failure.
 */
final class EventStream implements TokenSink {

	private final Output output;

	private OutputStream stream;

	private int tokens;

	EventStream(Output output) {
		this.output = output;
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
		this.tokens++;
	}

	/**
	 * Writes the last event.
	 * @param reply the reply to the request
	 * @throws IOException if the caller is gone
	 */
	void end(Reply reply) throws IOException {
		JsonNode body = parse(reply.body());
		if (reply.output().isEmpty()) {
			write("error", body);
			return;
		}
		if (this.tokens == 0 && !reply.output().get().isEmpty()) {
			token(0, reply.output().get());
		}
		ObjectNode done = Json.mapper().createObjectNode();
		done.put("count", this.tokens);
		done.setAll((ObjectNode) body);
		write("done", done);
	}

	private static JsonNode parse(String json) throws JsonProcessingException {
		return Json.mapper().readTree(json);
	}

	private void write(String event, JsonNode data) throws IOException {
		if (this.stream == null) {
			this.stream = this.output.start();
		}
		this.stream.write(("event: " + event + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
		this.stream.flush();
	}

	/**
	 * Starts the HTTP response.
	 */
	@FunctionalInterface
	interface Output {

		OutputStream start() throws IOException;

	}

}
