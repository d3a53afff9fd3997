package org.fulmargap.standin;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/**
 * An HTTP request and its response. No method blocks, so that few threads can serve many
 * concurrent requests.
 */
final class Exchange {

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private final Request request;

	private final Response response;

	private final Callback callback;

	private final HttpServer server;

	private final AtomicBoolean ended = new AtomicBoolean();

	Exchange(HttpServer server, Request request, Response response, Callback callback) {
		this.server = server;
		this.request = request;
		this.response = response;
		this.callback = callback;
	}

	String method() {
		return this.request.getMethod();
	}

	String path() {
		return this.request.getHttpURI().getDecodedPath();
	}

	String header(String name) {
		return this.request.getHeaders().get(name);
	}

	String query(String name) {
		return Request.extractQueryParameters(this.request).getValue(name);
	}

	long query(String name, long defaultValue) {
		String value = query(name);
		return (value != null) ? Long.parseLong(value) : defaultValue;
	}

	InetSocketAddress remoteAddress() {
		return (InetSocketAddress) this.request.getConnectionMetaData().getRemoteSocketAddress();
	}

	int localPort() {
		return ((InetSocketAddress) this.request.getConnectionMetaData().getLocalSocketAddress()).getPort();
	}

	EndPoint connection() {
		return this.request.getConnectionMetaData().getConnection().getEndPoint();
	}

	/**
	 * Returns whether the connection is silenced, so that requests on it get no response.
	 * Control requests are exempt, so that faults can be switched off again.
	 * @return {@code true} if responses must be dropped
	 */
	boolean isSilent() {
		return this.server.isSilent(connection()) && !path().startsWith("/control/");
	}

	CompletableFuture<byte[]> body() {
		CompletableFuture<byte[]> body = new CompletableFuture<>();
		Content.Source.asByteArrayAsync(this.request, MAX_BODY_BYTES, new Promise.Invocable<>() {
			@Override
			public void succeeded(byte[] bytes) {
				body.complete(bytes);
			}

			@Override
			public void failed(Throwable failure) {
				body.completeExceptionally(failure);
			}
		});
		return body;
	}

	Exchange responseHeader(String name, String value) {
		this.response.getHeaders().put(name, value);
		return this;
	}

	void respond(int status, Object value) {
		respond(status, json(value));
	}

	void respond(int status, byte[] body) {
		respond(status, body, Callback.NOOP);
	}

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param body the body, in JSON
	 * @param afterwards called when the write of the response has completed
	 */
	void respond(int status, byte[] body, Callback afterwards) {
		if (isSilent() || !this.ended.compareAndSet(false, true)) {
			return;
		}
		this.response.setStatus(status);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		this.response.write(true, ByteBuffer.wrap(body), Callback.from(this.callback, afterwards::succeeded));
	}

	void error(int status, String type, String message) {
		respond(status, new ErrorBody(new ErrorBody.Detail(type, message)));
	}

	void startEventStream() {
		this.response.setStatus(200);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
	}

	/**
	 * Writes a server-sent event. On a silenced connection the event is dropped and
	 * counts as written.
	 * @param name the name of the event
	 * @param value the data, written as JSON
	 * @param written called when the event has been written or the write has failed
	 */
	void sendEvent(String name, Object value, Callback written) {
		if (isSilent()) {
			written.succeeded();
			return;
		}
		String text = "event: " + name + "\ndata: " + new String(json(value), StandardCharsets.UTF_8) + "\n\n";
		this.response.write(false, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), written);
	}

	void endEventStream() {
		if (!isSilent() && this.ended.compareAndSet(false, true)) {
			this.response.write(true, ByteBuffer.allocate(0), this.callback);
		}
	}

	/**
	 * Sends the first part of a response and closes the connection.
	 * @param part the part of the body that is sent
	 * @param length the content length that the response declares, in bytes
	 */
	void respondPartially(byte[] part, int length) {
		if (isSilent() || !this.ended.compareAndSet(false, true)) {
			return;
		}
		this.response.setStatus(200);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
		this.response.write(false, ByteBuffer.wrap(part), Callback.from(this::closeConnection));
	}

	/**
	 * Returns a callback that sends a second response on the connection. A client that
	 * does not check the attempt id uses it as the response to its next request.
	 * @param body the body of the response
	 * @return the callback
	 */
	Callback duplicateResponse(byte[] body) {
		StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
		this.response.getHeaders()
			.forEach((field) -> head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n"));
		head.append("Content-Type: application/json\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
		ByteBuffer headBytes = ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		EndPoint connection = connection();
		return Callback.from(() -> connection.write(Callback.NOOP, headBytes, ByteBuffer.wrap(body)));
	}

	/**
	 * Closes the connection. The callback is not completed, because failing it would make
	 * Jetty write an error response.
	 */
	private void closeConnection() {
		connection().close();
	}

	/** Closes the connection without a response, or without the rest of it. */
	void abort() {
		if (!isSilent() && this.ended.compareAndSet(false, true)) {
			closeConnection();
		}
	}

	static byte[] json(Object value) {
		try {
			return Json.MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Body of an error response.
	 *
	 * @param error the type and message
	 */
	record ErrorBody(Detail error) {

		/**
		 * Type and message of an error.
		 *
		 * @param type the error code, for programs
		 * @param message the description, for people
		 */
		record Detail(String type, String message) {
		}

	}

}
